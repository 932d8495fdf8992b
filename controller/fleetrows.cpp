#include "controller/fleetrows.h"

#include <memory>
#include <utility>

namespace sequoiapier {

namespace {

struct ReadState
{
    Table table;
    TimePoint deadline;
    std::function<void(const Result<FleetRows> &)> done;
    FleetRows rows;
};

using ReadStatePointer = std::shared_ptr<ReadState>;

// Scans `prefix`, passes each parsed row to `append`, then calls `next`.
template<typename Parse, typename Append, typename Next>
void scanRows(const ReadStatePointer &state, std::string_view prefix, Parse parse, Append append,
              Next next)
{
    state->table.scan(prefix, state->deadline, [=](const Result<std::vector<TableRow>> &found) {
        if (!found) {
            state->done(found.error());
            return;
        }
        for (const TableRow &row : found.value()) {
            const auto parsed = parse(row.value);
            if (!parsed) {
                state->done(
                    Error{ResultCode::RowMalformed, row.key + ": " + parsed.error().detail});
                return;
            }
            append(state->rows, parsed.value(), row.version);
        }
        next();
    });
}

void readWaves(const ReadStatePointer &state)
{
    scanRows(
        state, WaveKeyPrefix, parseWaveRow,
        [](FleetRows &rows, const WaveRow &wave, std::uint64_t version) {
            rows.waves.push_back({wave, version});
        },
        [state] { state->done(std::move(state->rows)); });
}

void readHosts(const ReadStatePointer &state)
{
    scanRows(
        state, HostKeyPrefix, parseHostRow,
        [](FleetRows &rows, const HostRow &host, std::uint64_t version) {
            rows.hosts.push_back(host);
            rows.hostVersions.push_back(version);
        },
        [state] { readWaves(state); });
}

} // namespace

void readFleetRows(const Table &table, TimePoint deadline,
                   std::function<void(const Result<FleetRows> &)> done)
{
    const auto state = std::make_shared<ReadState>(ReadState{table, deadline, std::move(done), {}});
    scanRows(
        state, BudgetKeyPrefix, parseBudgetRow,
        [](FleetRows &rows, const BudgetRow &budget, std::uint64_t version) {
            rows.budgets.push_back({budget, version});
        },
        [state] { readHosts(state); });
}

} // namespace sequoiapier
