// FleetApi: the methods of api/operator.thrift that concern hosts and waves.
//
//   FleetApi fleet({.change = {.table = table, .now = &BootClock::now}, ...});
//   fleet.addTo(operatorRpcServer);
#pragma once

#include "controller/fleetchange.h"
#include "controller/fleetview.h"
#include "gen/OperatorService.h"
#include "net/rpcserver.h"

namespace sequoiapier {

class FleetApi
{
public:
    struct Hooks
    {
        FleetChange::Hooks change;
        std::function<std::int64_t()> wallSeconds; // Unix time
        // What this controller knows of the hosts besides their rows.
        std::function<FleetKnowledge()> knowledge;
        // Called for every change that was answered as committed.
        std::function<void(std::string_view operationId)> committed;
    };

    explicit FleetApi(Hooks hooks);

    // Adds the methods; `rpc` must not outlive the FleetApi.
    void addTo(RpcServer &rpc);

private:
    void change(const api::FleetRequest &request,
                std::function<void(const ChangeOutcome &)> answer);
    void read(const std::function<void(const api::FleetAnswer &)> &answer);

    Hooks m_hooks;
};

} // namespace sequoiapier
