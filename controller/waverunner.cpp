// A tick reads the wave's row, then the budgets, then the hosts, so that a host's row is never
// older than the budget unit that it holds. A tick whose commit got no answer is not resolved; the next
// tick reads the rows again. A row that can't be parsed ends the tick, since no host may be started
// without knowing all budgets.
#include "controller/waverunner.h"

#include <utility>

namespace sequoiapier {

struct WaveRunner::Turn
{
    std::string id;
    TimePoint deadline;
    std::int64_t wallSeconds = 0;
    WaveRow wave;
    std::uint64_t version = 0;
    std::vector<VersionedBudgetRow> budgets;
    std::vector<WaveHost> hosts;
    std::set<std::string, std::less<>> *underWay = nullptr;

    ~Turn() { underWay->erase(id); }
};

WaveRunner::WaveRunner(Table table, Hooks hooks, Options options)
    : m_table(std::move(table))
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_writeIds(m_options.process, m_options.incarnation, "wave")
{ }

bool WaveRunner::turn(std::string_view wave, TimePoint now, std::int64_t wallSeconds)
{
    if (!m_underWay.insert(std::string(wave)).second)
        return false;
    auto turn = std::make_shared<Turn>();
    turn->id = wave;
    turn->deadline = now + m_options.tableTimeout;
    turn->wallSeconds = wallSeconds;
    turn->underWay = &m_underWay;
    m_table.read(waveKey(wave), turn->deadline,
                 [this, turn](const Result<std::optional<TableRow>> &row) {
                     if (!row || !row.value())
                         return;
                     const Result<WaveRow> parsed = parseWaveRow(row.value()->value);
                     if (!parsed)
                         return;
                     turn->wave = parsed.value();
                     turn->version = row.value()->version;
                     readBudgets(turn);
                 });
    return true;
}

void WaveRunner::readBudgets(const std::shared_ptr<Turn> &turn)
{
    m_table.scan(BudgetKeyPrefix, turn->deadline,
                 [this, turn](const Result<std::vector<TableRow>> &rows) {
                     if (!rows)
                         return;
                     for (const TableRow &row : rows.value()) {
                         const Result<BudgetRow> parsed = parseBudgetRow(row.value);
                         if (!parsed)
                             return;
                         turn->budgets.push_back({parsed.value(), row.version});
                     }
                     readHosts(turn);
                 });
}

void WaveRunner::readHosts(const std::shared_ptr<Turn> &turn)
{
    m_table.scan(HostKeyPrefix, turn->deadline,
                 [this, turn](const Result<std::vector<TableRow>> &rows) {
                     if (rows && addHosts(*turn, rows.value()))
                         commit(turn);
                 });
}

bool WaveRunner::addHosts(Turn &turn, const std::vector<TableRow> &rows) const
{
    for (const TableRow &row : rows) {
        const Result<HostRow> parsed = parseHostRow(row.value);
        if (!parsed)
            return false;
        const HostRow &host = parsed.value();
        turn.hosts.push_back({.row = host,
                              .version = row.version,
                              .isLost = m_hooks.isLost(host),
                              .expectedOut = m_hooks.expectedOut(host)});
    }
    return true;
}

void WaveRunner::commit(const std::shared_ptr<Turn> &turn)
{
    WaveTurn next = planWaveTurn({.wave = turn->wave,
                                  .version = turn->version,
                                  .hosts = turn->hosts,
                                  .budgets = turn->budgets},
                                 turn->wallSeconds);
    if (next.writes.empty()) {
        m_hooks.turned(next, true);
        return;
    }
    Commit commit{.writeId = m_writeIds.next(), .writes = next.writes};
    m_table.commit(std::move(commit), turn->deadline,
                   [this, turn, next = std::move(next)](const CommitAnswer &answer) {
                       m_hooks.turned(next, answer.outcome == CommitOutcome::Committed);
                   });
}

} // namespace sequoiapier
