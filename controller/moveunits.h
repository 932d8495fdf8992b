// The units of availability budgets that hosts hold while an operator's move has them out.
//
//   if (std::vector<RowWrite> writes = releaseMoveUnits(rows); !writes.empty())
//       table.commit({.writeId = ..., .writes = writes}, ...);
//
// A move takes its units in the commit that begins the drain, so that moves and waves together keep
// within the budgets.
#pragma once

#include "controller/fleetrows.h"

namespace sequoiapier {

// The holder of a move's units and the operation of its host row.
std::string moveHolder(std::string_view operationId);

// Units given back by one commit.
inline constexpr std::size_t MaxReleasedUnits = 64;

// The commit that gives back the units of moves that are over, and those in the budget of a pool
// that the host has left. It rewrites the hosts' rows, so that a stale view frees nothing.
// O(units log hosts).
std::vector<RowWrite> releaseMoveUnits(const FleetRows &rows);

} // namespace sequoiapier
