// Plans the table reads and writes of each FleetEdit of api/operator.thrift.
//
//   Result<FleetEditPlan> plan = planFleetEdit(request.edit, request.operationId, wallSeconds);
//
// The plan's build() is a pure function of the rows that the plan reads.
#pragma once

#include "controller/fleetchange.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// Maximum number of hosts in one registration.
inline constexpr std::size_t MaxHostsOfEdit = 256;

// Fails with ChangeInvalid if the union is empty or a name or number is not allowed. `now` is Unix
// time in seconds.
Result<FleetEditPlan> planFleetEdit(const api::FleetEdit &edit, const std::string &operationId,
                                    std::int64_t now);

} // namespace sequoiapier
