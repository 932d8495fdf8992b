#include "testing/support/relayedsystem.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr const char *ControllerName = "controller-1";

std::vector<std::string> numberedNames(const std::string &role, unsigned count)
{
    std::vector<std::string> names;
    for (unsigned i = 1; i <= count; ++i)
        names.push_back(role + "-" + std::to_string(i));
    return names;
}

} // namespace

RelayedSystem::RelayedSystem(const std::string &name, Options options)
    : m_options(std::move(options))
    , m_system(name)
    , m_gateways(numberedNames("gateway", m_options.gateways))
    , m_schedulers(numberedNames("scheduler", m_options.schedulers))
    , m_runners(numberedNames("runner", m_options.runners))
{ }

bool RelayedSystem::start()
{
    if (!m_system.startTable() || !startRunners() || !startProcesses())
        return false;
    addPeerLinks();
    Configuration configuration;
    configuration.teams = {{.name = "pricing"}};
    configuration.keys = {{.digest = keyDigest("key"), .team = "pricing"},
                          {.digest = keyDigest("other"), .team = "pricing"}};
    configuration.services = {{.name = "prices", .runners = m_runnerAddresses}};
    configuration.queues = {{.name = "prices", .service = "prices"}};
    configuration.maxGateways = m_options.gateways;
    if (m_system.applyConfiguration(toJson(configuration), 0, "first") != 0)
        return false;
    return waitPeerLinks()
        && std::all_of(m_gateways.begin(), m_gateways.end(), [this](const std::string &gateway) {
               return m_system.waitReady(gateway)
                   && LocalSystem::waitUntil([&] { return isServing(gateway); });
           });
}

bool RelayedSystem::startRunners()
{
    for (const std::string &runner : m_runners) {
        std::vector<std::string> flags = m_options.runnerFlags;
        flags.insert(flags.end(), {"--record-file", recordFile(runner)});
        if (!m_system.startRunner(runner, flags))
            return false;
        m_runnerAddresses.push_back(
            {"127.0.0.1", m_network.add("gateways", runner, m_system.member(runner).workPort)});
    }
    return true;
}

bool RelayedSystem::startProcesses()
{
    bool isStarted = m_system.startController(ControllerName, flagsOf(ControllerName, {}));
    for (const std::string &name : m_schedulers)
        isStarted
            = isStarted && m_system.startScheduler(name, flagsOf(name, m_options.schedulerFlags));
    for (const std::string &name : m_gateways)
        isStarted = isStarted && m_system.startGateway(name, flagsOf(name, m_options.gatewayFlags));
    return isStarted;
}

std::vector<std::string> RelayedSystem::flagsOf(const std::string &name,
                                                std::vector<std::string> flags)
{
    const std::uint16_t port = m_network.add(name, "table", m_system.member("table").adminPort);
    flags.insert(flags.end(), {"--table", "127.0.0.1:" + std::to_string(port)});
    return flags;
}

void RelayedSystem::addPeerLinks()
{
    std::vector<std::string> peers = m_gateways;
    peers.insert(peers.end(), m_schedulers.begin(), m_schedulers.end());
    peers.emplace_back(ControllerName);
    for (const std::string &caller : peers) {
        for (const std::string &called : peers) {
            if (caller == called)
                continue;
            const std::uint16_t port = m_system.member(called).adminPort;
            m_network.rewritePort(caller, "table", port, m_network.add(caller, called, port));
        }
    }
}

// In each pair of members the one with the lower name calls the other.
bool RelayedSystem::waitPeerLinks() const
{
    return LocalSystem::waitUntil([this] {
        for (const std::string &caller : m_gateways) {
            for (const std::string &called : m_schedulers) {
                if (m_network.requests(caller, called).empty())
                    return false;
            }
        }
        return true;
    });
}

std::vector<std::uint16_t> RelayedSystem::callerPorts()
{
    std::vector<std::uint16_t> ports;
    for (const std::string &gateway : m_gateways)
        ports.push_back(m_system.member(gateway).workPort);
    return ports;
}

bool RelayedSystem::isServing(const std::string &gateway, const std::string &key)
{
    return m_system.work(gateway, "prices", key, "x", {{"x-deadline-ms", "3000"}}).response.status
        == 200;
}

std::map<std::string, int> RelayedSystem::runs() const
{
    std::map<std::string, int> totals;
    for (const std::string &runner : m_runners) {
        for (const auto &[id, count] : runsOf(runner))
            totals[id] += count;
    }
    return totals;
}

std::map<std::string, int> RelayedSystem::runsOf(const std::string &runner) const
{
    std::map<std::string, int> counts;
    std::ifstream file(recordFile(runner));
    for (std::string id; std::getline(file, id);)
        ++counts[id];
    return counts;
}

std::string RelayedSystem::recordFile(const std::string &runner) const
{
    return m_system.directory() + "/" + runner + ".runs";
}

} // namespace sequoiapier
