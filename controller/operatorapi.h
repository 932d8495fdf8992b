// OperatorApi: serves the methods of api/operator.thrift on /operator.
//
//   OperatorApi api({.table = table, .now = &BootClock::now, .announce = ..., .push = ...},
//                   [&](std::string_view operationId, std::uint64_t version) { ... });
//   daemon.route("/operator", [&](const auto &exchange) { api.serve(exchange); });
#pragma once

#include "controller/operatorchange.h"
#include "gen/OperatorService.h"
#include "net/rpcserver.h"

#include <memory>

namespace sequoiapier {

class OperatorApi
{
public:
    // Called for every change that was answered as committed.
    using CommittedHook = std::function<void(std::string_view operationId, std::uint64_t version)>;

    OperatorApi(OperatorChange::Hooks hooks, CommittedHook onCommitted);

    // Server to which other parts add the methods that they serve on the same path.
    RpcServer &rpcServer() { return m_rpc; }
    void serve(const std::shared_ptr<HttpExchange> &exchange) { m_rpc.serve(exchange); }

private:
    using ConfigurationCallback = RpcServer::Answer<api::OperatorService_configuration_result>;

    void readConfiguration(const ConfigurationCallback &answer);
    void change(ChangeSpec spec, std::function<void(const api::ChangeAnswer &)> answer);

    OperatorChange::Hooks m_hooks;
    CommittedHook m_onCommitted;
    RpcServer m_rpc;
};

} // namespace sequoiapier
