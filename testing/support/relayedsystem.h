// RelayedSystem: a LocalSystem whose processes reach each other only through relays, so that any
// link can be cut or made silent.
//
//   RelayedSystem relayed("chaos", {.gateways = 3, .schedulers = 2, .runners = 3});
//   ASSERT_TRUE(relayed.start());
//   relayed.network().cut("gateway-1", "table", true);
//
// There is one service "prices" with a keyed queue of the same name; its keys are "key" and
// "other". Links are named after the processes; the caller of all links to runners is "gateways".
// Runners append their runs to files, which remain after the runners end.
#pragma once

#include "testing/support/localsystem.h"
#include "testing/support/relaynetwork.h"

#include <map>

namespace sequoiapier {

class RelayedSystem
{
public:
    struct Options
    {
        unsigned gateways = 1;
        unsigned schedulers = 1;
        unsigned runners = 1;
        std::vector<std::string> gatewayFlags;
        std::vector<std::string> schedulerFlags;
        std::vector<std::string> runnerFlags;
    };

    RelayedSystem(const std::string &name, Options options);

    // Starts all processes, applies the configuration and waits until all gateways serve.
    bool start();

    LocalSystem &system() { return m_system; }
    RelayNetwork &network() { return m_network; }
    const std::vector<std::string> &gateways() const { return m_gateways; }
    const std::vector<std::string> &schedulers() const { return m_schedulers; }
    const std::vector<std::string> &runners() const { return m_runners; }
    std::vector<std::uint16_t> callerPorts();
    bool isServing(const std::string &gateway, const std::string &key = "key");

    // Number of runs by request identifier, over all runners or of one runner.
    std::map<std::string, int> runs() const;
    std::map<std::string, int> runsOf(const std::string &runner) const;

private:
    bool startRunners();
    bool startProcesses();
    std::vector<std::string> flagsOf(const std::string &name, std::vector<std::string> flags);
    void addPeerLinks();
    bool waitPeerLinks() const;
    std::string recordFile(const std::string &runner) const;

    Options m_options;
    RelayNetwork m_network;
    LocalSystem m_system; // destroyed before the relays, which its processes use
    std::vector<std::string> m_gateways;
    std::vector<std::string> m_schedulers;
    std::vector<std::string> m_runners;
    std::vector<RunnerConfig> m_runnerAddresses;
};

} // namespace sequoiapier
