// Controller: applies operators' changes to the platform's table, advances host operations and
// maintenance waves, and serves jobs.
#pragma once

#include "cli/daemon.h"
#include "controller/configurationpusher.h"
#include "controller/fleetapi.h"
#include "controller/fleetdriver.h"
#include "controller/jobcontrol.h"
#include "controller/operatorapi.h"
#include "peer/peernode.h"
#include "platform/hostclient.h"

#include <memory>

namespace sequoiapier {

struct ControllerSettings
{
    CommonSettings common;
    std::string tableEndpoint;
    std::string hostsEndpoint; // Platform's host interface; if empty, no host is moved.
    std::int64_t fleetMilliseconds = 1'000; // Interval between steps of hosts and waves.
    std::int64_t expectedOutSeconds = 300;
    JobSettings jobs;
};

class Controller
{
public:
    Controller(Daemon &daemon, const ControllerSettings &settings);

private:
    void announce(std::span<const std::string> digests);
    void startFleet();
    void tickFleet();
    bool leadsFleet();
    const Configuration *confirmedConfiguration();

    Daemon &m_daemon;
    ControllerSettings m_settings;
    PeerNode m_node;
    ConfigurationPusher m_pusher;
    OperatorApi m_operators;
    FleetApi m_fleetApi;
    std::unique_ptr<HostClient> m_hosts;
    std::unique_ptr<FleetDriver> m_fleet; // Null until the process has an incarnation.
    Timer m_fleetTimer;
    std::unique_ptr<JobControl> m_jobs; // Null without a task service.
};

} // namespace sequoiapier
