// Controller: serves operators' configuration changes from the platform's table.
//
// A change is committed by compare-and-set on the configuration row, together with a record of the
// operation identifier, so that a repeated call finds the first outcome in the table.
#pragma once

#include "cli/daemon.h"
#include "gen/OperatorService.h"
#include "net/rpcserver.h"
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
    using ChangeAnswerCallback = RpcServer::Answer<api::OperatorService_change_result>;
    using ConfigurationCallback = RpcServer::Answer<api::OperatorService_configuration_result>;

    void readConfiguration(const ConfigurationCallback &answer);
    void change(const api::ChangeRequest &request, const ChangeAnswerCallback &answer);
    void commitChange(const api::ChangeRequest &request, const ChangeAnswerCallback &answer);
    void resolveUnknown(const api::ChangeRequest &request, const ChangeAnswerCallback &answer);

    Daemon &m_daemon;
    RemoteTable m_remoteTable;
    Table m_table;
    RpcServer m_rpc;
};

} // namespace sequoiapier
