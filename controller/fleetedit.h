// What each FleetEdit of api/operator.thrift reads and writes.
//
//   Result<FleetEditPlan> plan = planFleetEdit(request.edit, request.operationId, wallSeconds);
//
// The plan's build() is a pure function of the rows that it names.
#pragma once

#include "controller/fleetchange.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// Hosts of one registration.
inline constexpr std::size_t MaxHostsOfEdit = 256;

// ChangeInvalid if the union is empty, or a name or number is not allowed. Times are Unix times in
// seconds.
Result<FleetEditPlan> planFleetEdit(const api::FleetEdit &edit, const std::string &operationId,
                                    std::int64_t now);

} // namespace sequoiapier
