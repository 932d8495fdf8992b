// Measures the cost of control per node: processor time and resident memory of the gateway, the
// scheduler and the controller of one entry host, without callers, while NodeCount hosts run the
// system.
#include "bench/support/processuse.h"
#include "bench/support/report.h"
#include "testing/support/localsystem.h"

#include <array>
#include <cstdio>
#include <string>
#include <thread>

namespace {

using namespace sequoiapier;

constexpr std::array<const char *, 3> Roles{"gateway", "scheduler", "controller"};
constexpr auto SettleTime = std::chrono::seconds(5);
constexpr auto MeasuredTime = std::chrono::seconds(10);

struct SystemSize
{
    const char *label;
    unsigned nodes;
    unsigned services;
    unsigned teams;
};

constexpr std::array<SystemSize, 3> SystemSizes{{
    {"3 nodes, 5 services, 6 teams", 3, 5, 6},
    {"9 nodes, 5 services, 6 teams", 9, 5, 6},
    {"9 nodes, 28 services, 100 teams", 9, 28, 100},
}};

std::string nameOf(const char *role, unsigned node)
{
    return std::string(role) + "-" + std::to_string(node);
}

Configuration configurationOf(const SystemSize &size, std::uint16_t runnerPort)
{
    Configuration configuration;
    configuration.maxGateways = int(size.nodes);
    for (unsigned i = 0; i < size.teams; ++i)
        configuration.teams.push_back({.name = "team-" + std::to_string(i), .ceiling = 1'000});
    for (unsigned i = 0; i < size.services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        configuration.services.push_back({.name = name, .runners = {{"127.0.0.1", runnerPort}}});
        configuration.queues.push_back({.name = name, .service = name});
    }
    return configuration;
}

bool startSystem(LocalSystem &system, const SystemSize &size)
{
    if (!system.startTable() || !system.startRunner("runner-1"))
        return false;
    for (unsigned node = 1; node <= size.nodes; ++node) {
        if (!system.startController(nameOf("controller", node))
            || !system.startScheduler(nameOf("scheduler", node))
            || !system.startGateway(nameOf("gateway", node))) {
            return false;
        }
    }
    const Configuration configuration = configurationOf(size, system.member("runner-1").workPort);
    if (system.applyConfiguration(toJson(configuration), 0, "bench") != 0)
        return false;
    for (unsigned node = 1; node <= size.nodes; ++node) {
        if (!system.waitReady(nameOf("gateway", node)))
            return false;
    }
    return true;
}

// Means over the nodes, for each role and for all three together.
void measure(Report &report, LocalSystem &system, const SystemSize &size)
{
    std::this_thread::sleep_for(SettleTime);
    std::map<std::string, ProcessUse> usageBefore;
    for (const std::string &name : system.memberNames())
        usageBefore[name] = processUse(system.member(name).process.pid());
    std::this_thread::sleep_for(MeasuredTime);
    const double seconds = double(std::chrono::seconds(MeasuredTime).count());
    ProcessUse total;
    for (const char *role : Roles) {
        ProcessUse mean;
        for (unsigned node = 1; node <= size.nodes; ++node) {
            const std::string name = nameOf(role, node);
            const ProcessUse usage = processUse(system.member(name).process.pid());
            mean.processorSeconds
                += (usage.processorSeconds - usageBefore[name].processorSeconds) / size.nodes;
            mean.residentMegabytes += usage.residentMegabytes / size.nodes;
        }
        total.processorSeconds += mean.processorSeconds;
        total.residentMegabytes += mean.residentMegabytes;
        report.add(std::string(size.label) + ", " + role,
                   {{"core_percent", mean.processorSeconds / seconds * 100},
                    {"resident_MB", mean.residentMegabytes}});
    }
    report.add(std::string(size.label) + ", node",
               {{"core_percent", total.processorSeconds / seconds * 100},
                {"resident_MB", total.residentMegabytes}});
}

} // namespace

int main(int argc, char **argv)
{
    Report report("node", argc, argv);
    for (const SystemSize &size : SystemSizes) {
        LocalSystem system("node-bench");
        if (!startSystem(system, size)) {
            std::fprintf(stderr, "the system did not start: %s\n", system.output().c_str());
            return 1;
        }
        measure(report, system, size);
    }
    return report.finish();
}
