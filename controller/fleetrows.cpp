#include "controller/fleetrows.h"

#include <memory>
#include <utility>

namespace sequoiapier {

namespace {

struct Reading
{
    Table table;
    TimePoint deadline;
    std::function<void(const Result<FleetRows> &)> done;
    FleetRows rows;
};

using ReadingPointer = std::shared_ptr<Reading>;

// Scans `prefix`, passes each parsed row to `append`, then calls `next`.
template<typename Parse, typename Take, typename Next>
void scanRows(const ReadingPointer &reading, std::string_view prefix, Parse parse, Take take,
              Next next)
{
    reading->table.scan(prefix, reading->deadline, [=](const Result<std::vector<TableRow>> &found) {
        if (!found) {
            reading->done(found.error());
            return;
        }
        for (const TableRow &row : found.value()) {
            const auto parsed = parse(row.value);
            if (!parsed) {
                reading->done(
                    Error{ResultCode::RowMalformed, row.key + ": " + parsed.error().detail});
                return;
            }
            take(reading->rows, parsed.value(), row.version);
        }
        next();
    });
}

void readWaves(const ReadingPointer &reading)
{
    scanRows(
        reading, WaveKeyPrefix, parseWaveRow,
        [](FleetRows &rows, const WaveRow &wave, std::uint64_t version) {
            rows.waves.push_back({wave, version});
        },
        [reading] { reading->done(std::move(reading->rows)); });
}

void readHosts(const ReadingPointer &reading)
{
    scanRows(
        reading, HostKeyPrefix, parseHostRow,
        [](FleetRows &rows, const HostRow &host, std::uint64_t version) {
            rows.hosts.push_back(host);
            rows.hostVersions.push_back(version);
        },
        [reading] { readWaves(reading); });
}

} // namespace

void readFleetRows(const Table &table, TimePoint deadline,
                   std::function<void(const Result<FleetRows> &)> done)
{
    const auto reading = std::make_shared<Reading>(Reading{table, deadline, std::move(done), {}});
    scanRows(
        reading, BudgetKeyPrefix, parseBudgetRow,
        [](FleetRows &rows, const BudgetRow &budget, std::uint64_t version) {
            rows.budgets.push_back({budget, version});
        },
        [reading] { readHosts(reading); });
}

} // namespace sequoiapier
