// FleetRows: the fleet as read from the table in one go, and the reading of it.
//
//   readFleetRows(table, deadline, [](Result<FleetRows> rows) { ... });
//
// Budgets are read before hosts, so that a host's row is never older than the unit that it holds.
// Three scans; memory is that of the rows.
#pragma once

#include "controller/waveplanner.h"

#include <functional>

namespace sequoiapier {

struct VersionedWaveRow
{
    WaveRow row;
    std::uint64_t version = 0;
};

struct FleetRows
{
    std::vector<VersionedBudgetRow> budgets;
    std::vector<HostRow> hosts;
    std::vector<std::uint64_t> hostVersions; // in the order of `hosts`
    std::vector<VersionedWaveRow> waves;
};

// RowMalformed, naming the row, if one of them can't be parsed; the table's errors.
void readFleetRows(const Table &table, TimePoint deadline,
                   std::function<void(const Result<FleetRows> &)> done);

} // namespace sequoiapier
