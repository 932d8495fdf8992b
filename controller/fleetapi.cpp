#include "controller/fleetapi.h"

#include "controller/fleetedit.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxOperationIdBytes = 128;

} // namespace

FleetApi::FleetApi(Hooks hooks)
    : m_hooks(std::move(hooks))
{ }

void FleetApi::addTo(RpcServer &rpc)
{
    rpc.add<api::OperatorService_changeFleet_args, api::OperatorService_changeFleet_result>(
        "changeFleet", [this](const auto &args, const auto &answer) {
            change(args.request, [answer](const ChangeOutcome &outcome) {
                api::OperatorService_changeFleet_result result;
                result.success.code = int(outcome.code);
                result.success.detail = outcome.detail;
                result.success.version = std::int64_t(outcome.version);
                result.__isset.success = true;
                answer(result);
            });
        });
    rpc.add<api::OperatorService_fleet_args, api::OperatorService_fleet_result>(
        "fleet", [this](const auto &, const auto &answer) {
            read([answer](const api::FleetAnswer &fleet) {
                api::OperatorService_fleet_result result;
                result.success = fleet;
                result.__isset.success = true;
                answer(result);
            });
        });
}

void FleetApi::change(const api::FleetRequest &request,
                      std::function<void(const ChangeOutcome &)> answer)
{
    const std::string operationId = request.operationId;
    if (operationId.empty() || operationId.size() > MaxOperationIdBytes) {
        answer({ResultCode::ChangeInvalid, "operationId must have 1 to 128 bytes", 0});
        return;
    }
    const Result<FleetEditPlan> plan
        = planFleetEdit(request.edit, operationId, m_hooks.wallSeconds());
    if (!plan) {
        answer({plan.error().code, plan.error().detail, 0});
        return;
    }
    FleetChange::run(m_hooks.change,
                     {.operationId = operationId, .isNewId = request.isNewId, .plan = plan.value()},
                     [this, operationId, answer = std::move(answer)](const ChangeOutcome &outcome) {
                         if (outcome.code == ResultCode::Committed)
                             m_hooks.committed(operationId);
                         answer(outcome);
                     });
}

void FleetApi::read(const std::function<void(const api::FleetAnswer &)> &answer)
{
    const FleetChange::Hooks &hooks = m_hooks.change;
    readFleetRows(hooks.table, hooks.now() + hooks.tableTimeout,
                  [this, answer](const Result<FleetRows> &rows) {
                      if (rows) {
                          answer(
                              viewFleet(rows.value(), m_hooks.knowledge(), m_hooks.wallSeconds()));
                          return;
                      }
                      api::FleetAnswer failed;
                      failed.code = int(rows.error().code);
                      failed.detail = rows.error().detail;
                      answer(failed);
                  });
}

} // namespace sequoiapier
