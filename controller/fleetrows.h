// FleetRows: all host, budget and wave rows, and the function that reads them from the table.
//
//   readFleetRows(table, deadline, [](Result<FleetRows> rows) { ... });
//
// Budgets are read before hosts, so that a host's row is never older than the budget unit that it
// holds. Reading costs three scans and memory proportional to the rows.
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
    std::vector<std::uint64_t> hostVersions; // same order as `hosts`
    std::vector<VersionedWaveRow> waves;
};

// Fails with RowMalformed, naming the row's key, if a row can't be parsed, and with the table's
// errors.
void readFleetRows(const Table &table, TimePoint deadline,
                   std::function<void(const Result<FleetRows> &)> done);

} // namespace sequoiapier
