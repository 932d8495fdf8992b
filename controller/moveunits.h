// The availability budget units held by hosts that are out of service for an operator's move.
//
//   if (std::vector<RowWrite> writes = releaseMoveUnits(rows); !writes.empty())
//       table.commit({.writeId = ..., .writes = writes}, ...);
//
// A move acquires its units in the commit that begins the drain, so that moves and waves together
// stay within the budgets.
#pragma once

#include "controller/fleetrows.h"

namespace sequoiapier {

// The holder of a move's units, which is also the operationId of its host row.
std::string moveHolder(std::string_view operationId);

// Returns whether a finished move of the host has acquired the unit.
bool isOfFinishedMove(const BudgetUnit &unit, const HostRow &host);

// Maximum number of units released by one commit.
inline constexpr std::size_t MaxReleasedUnits = 64;

// The writes that release the units of finished moves, and a move's units in the budget of a pool
// that the host has left. They include the hosts' rows unchanged, so that the commit fails if the
// view is stale. O(units log hosts).
std::vector<RowWrite> releaseMoveUnits(const FleetRows &rows);

} // namespace sequoiapier
