// Controller: serves operators' changes to the configuration in the platform's table.
#pragma once

#include "cli/daemon.h"
#include "controller/operatorapi.h"
#include "platform/remotetable.h"

namespace sequoiapier {

struct ControllerSettings
{
    CommonSettings common;
    std::string tableEndpoint;
};

class Controller
{
public:
    Controller(Daemon &daemon, const ControllerSettings &settings);

private:
    RemoteTable m_remoteTable;
    OperatorApi m_operators;
};

} // namespace sequoiapier
