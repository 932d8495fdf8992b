// Entry point of the stand-ins for external systems. Usage: standin KIND, where KIND is table,
// runner, hosts, tasks, livelist or platform.
#include "testing/standin/hostsstandin.h"
#include "testing/standin/liveliststandin.h"
#include "testing/standin/platformstandin.h"
#include "testing/standin/runnerstandin.h"
#include "testing/standin/tablestandin.h"
#include "testing/standin/taskstandin.h"

#include <iostream>

namespace {

using namespace sequoiapier;

constexpr const char *Kinds = "table | runner | hosts | tasks | livelist | platform";

int runTable(CommonSettings &settings)
{
    Daemon daemon(settings);
    const TableStandin table(daemon);
    daemon.setReady(true);
    return daemon.run();
}

int runLiveList(CommonSettings &settings, std::int64_t lagMilliseconds)
{
    Daemon daemon(settings);
    const LiveListStandin liveList(daemon, lagMilliseconds);
    daemon.setReady(true);
    return daemon.run();
}

int runRunner(CommonSettings &settings, const RunnerSettings &runnerSettings)
{
    Daemon daemon(settings);
    const RunnerStandin runner(daemon, runnerSettings);
    if (!runner.isListening())
        return int(ResultCode::ListenFailed);
    daemon.setReady(true);
    return daemon.run();
}

int runHosts(CommonSettings &settings, const HostsSettings &hostsSettings)
{
    Daemon daemon(settings);
    const HostsStandin hosts(daemon, hostsSettings);
    daemon.setReady(true);
    return daemon.run();
}

int runTasks(CommonSettings &settings, const TaskStandinSettings &taskSettings)
{
    Daemon daemon(settings);
    const TaskStandin tasks(daemon, taskSettings);
    daemon.setReady(true);
    return daemon.run();
}

int runPlatform(CommonSettings &settings, const PlatformStandinSettings &platformSettings)
{
    Daemon daemon(settings);
    const PlatformStandin platform(daemon, platformSettings);
    daemon.setReady(true);
    return daemon.run();
}

void addPlatformSettings(SettingsParser &parser, PlatformStandinSettings &settings)
{
    parser.addText("pools", settings.pools, {.help = "Platform: hosts of pools, POOL:COUNT,..."});
    parser.addText("runner-ports", settings.runnerPorts,
                   {.help = "Platform: TCP ports of the runners, PORT,..."});
    parser.addText("links", settings.links,
                   {.help = "Platform: TCP ports for single nodes, NODE=PORT,..."});
    parser.addInteger("host-processors", settings.processors,
                      {.unit = "cores", .min = 1, .help = "Platform: of a host"});
    parser.addInteger("move-ms", settings.moveMilliseconds,
                      {.unit = "ms", .help = "Platform: time of a move or a maintenance"});
}

void addTaskSettings(SettingsParser &parser, TaskStandinSettings &settings)
{
    parser.addInteger("workers", settings.workers, {.min = 1, .help = "Tasks: workers"});
    parser.addInteger("processors", settings.processors,
                      {.unit = "cores", .min = 1, .help = "Tasks: of a worker"});
    parser.addInteger("memory", settings.memory,
                      {.unit = "GB", .min = 1, .help = "Tasks: of a worker"});
    parser.addInteger("accelerators", settings.accelerators, {.help = "Tasks: of a worker"});
    parser.addInteger("report-lag-ms", settings.reportLagMilliseconds,
                      {.unit = "ms", .help = "Tasks: age of reports at the most"});
}

} // namespace

int main(int argc, char **argv)
{
    CommonSettings settings;
    RunnerSettings runner;
    HostsSettings hosts;
    TaskStandinSettings tasks;
    PlatformStandinSettings platform;
    std::vector<std::string> kinds;
    SettingsParser parser("standin", std::string("Stand-ins for the outside systems: ") + Kinds);
    addCommonSettings(parser, settings);
    parser.addInteger("slots", runner.slots, {.min = 1, .help = "Requests run at once"});
    parser.addInteger("connections", runner.connections, {.min = 1, .help = "Connections at once"});
    parser.addInteger("work-ms", runner.workMilliseconds,
                      {.unit = "ms", .help = "Time of one run"});
    parser.addInteger("work-port", runner.workPort, {.max = 65'535, .help = "TCP port for work"});
    parser.addText("hosts", hosts.names, {.expected = "NAME,...", .help = "Hosts of the fleet"});
    parser.addInteger("lag-ms", hosts.lagMilliseconds,
                      {.unit = "ms", .help = "Hosts, livelist: lag of the list of live hosts"});
    parser.addInteger("end-ms", hosts.endMilliseconds,
                      {.unit = "ms", .help = "Time to the end of a draining host's work"});
    parser.addInteger("reboot-ms", hosts.rebootMilliseconds,
                      {.unit = "ms", .help = "Time of a reboot"});
    addTaskSettings(parser, tasks);
    addPlatformSettings(parser, platform);
    parser.addText("work-address", runner.workAddress, {.help = "IP address for work"});
    parser.addText("record-file", runner.recordFile, {.help = "File of the runs, a line each"});
    parser.addPositional(kinds, "KIND");
    const auto action = parser.parse({argv, std::size_t(argc)}, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    if (kinds == std::vector<std::string>{"table"})
        return runTable(settings);
    if (kinds == std::vector<std::string>{"runner"})
        return runRunner(settings, runner);
    if (kinds == std::vector<std::string>{"hosts"})
        return runHosts(settings, hosts);
    if (kinds == std::vector<std::string>{"tasks"})
        return runTasks(settings, tasks);
    if (kinds == std::vector<std::string>{"livelist"})
        return runLiveList(settings, hosts.lagMilliseconds);
    if (kinds == std::vector<std::string>{"platform"})
        return runPlatform(settings, platform);
    std::cerr << "kinds: " << Kinds << "\n";
    return int(ResultCode::Usage);
}
