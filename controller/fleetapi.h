// FleetApi: serves the methods of api/operator.thrift for hosts and waves.
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
        std::function<std::int64_t()> wallSeconds; // current Unix time
        // This controller's knowledge of the hosts that is not in the table.
        std::function<FleetKnowledge()> knowledge;
        // Called for each change that is answered as committed, before the answer is sent.
        std::function<void(std::string_view operationId)> committed;
    };

    explicit FleetApi(Hooks hooks);

    // Registers the methods with `rpc`, which must not outlive the FleetApi.
    void addTo(RpcServer &rpc);

private:
    void change(const api::FleetRequest &request,
                std::function<void(const ChangeOutcome &)> answer);
    void read(const std::function<void(const api::FleetAnswer &)> &answer);

    Hooks m_hooks;
};

} // namespace sequoiapier
