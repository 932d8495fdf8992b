// Controller: serves operators' changes to the configuration in the platform's table.
#pragma once

#include "cli/daemon.h"
#include "controller/configurationpusher.h"
#include "controller/jobcontrol.h"
#include "controller/operatorapi.h"
#include "peer/peernode.h"

namespace sequoiapier {

struct ControllerSettings
{
    CommonSettings common;
    std::string tableEndpoint;
    JobSettings jobs;
};

class Controller
{
public:
    Controller(Daemon &daemon, const ControllerSettings &settings);

private:
    void announce(std::span<const std::string> digests);

    PeerNode m_node;
    ConfigurationPusher m_pusher;
    OperatorApi m_operators;
    std::unique_ptr<JobControl> m_jobs; // null without a task service
};

} // namespace sequoiapier
