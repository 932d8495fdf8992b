// A tick reads the wave's row, then the budgets, then the hosts, so that a host's row is never
// older than the budget unit that it holds. A tick whose commit got no answer is not
// resolved; the next tick reads the rows again. A row that can't be parsed ends the tick, since no
// host may be started without knowing all budgets.
#include "controller/waverunner.h"

#include <utility>

namespace sequoiapier {

struct WaveRunner::Tick
{
    std::string id;
    TimePoint deadline;
    std::int64_t wallSeconds = 0;
    WaveRow wave;
    std::uint64_t version = 0;
    std::vector<VersionedBudgetRow> budgets;
    std::vector<WaveHost> hosts;
    std::set<std::string, std::less<>> *inProgress = nullptr;

    ~Tick() { inProgress->erase(id); }
};

WaveRunner::WaveRunner(Table table, Hooks hooks, Options options)
    : m_table(std::move(table))
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_writeIds(m_options.process, m_options.incarnation, "wave")
{ }

bool WaveRunner::tick(std::string_view wave, TimePoint now, std::int64_t wallSeconds)
{
    if (!m_inProgress.insert(std::string(wave)).second)
        return false;
    auto tick = std::make_shared<Tick>();
    tick->id = wave;
    tick->deadline = now + m_options.tableTimeout;
    tick->wallSeconds = wallSeconds;
    tick->inProgress = &m_inProgress;
    m_table.read(waveKey(wave), tick->deadline,
                 [this, tick](const Result<std::optional<TableRow>> &row) {
                     if (!row || !row.value())
                         return;
                     const Result<WaveRow> parsed = parseWaveRow(row.value()->value);
                     if (!parsed)
                         return;
                     tick->wave = parsed.value();
                     tick->version = row.value()->version;
                     readBudgets(tick);
                 });
    return true;
}

void WaveRunner::readBudgets(const std::shared_ptr<Tick> &tick)
{
    m_table.scan(BudgetKeyPrefix, tick->deadline,
                 [this, tick](const Result<std::vector<TableRow>> &rows) {
                     if (!rows)
                         return;
                     for (const TableRow &row : rows.value()) {
                         const Result<BudgetRow> parsed = parseBudgetRow(row.value);
                         if (!parsed)
                             return;
                         tick->budgets.push_back({parsed.value(), row.version});
                     }
                     readHosts(tick);
                 });
}

void WaveRunner::readHosts(const std::shared_ptr<Tick> &tick)
{
    m_table.scan(HostKeyPrefix, tick->deadline,
                 [this, tick](const Result<std::vector<TableRow>> &rows) {
                     if (rows && addHosts(*tick, rows.value()))
                         commit(tick);
                 });
}

bool WaveRunner::addHosts(Tick &tick, const std::vector<TableRow> &rows) const
{
    for (const TableRow &row : rows) {
        const Result<HostRow> parsed = parseHostRow(row.value);
        if (!parsed)
            return false;
        const HostRow &host = parsed.value();
        tick.hosts.push_back({.row = host,
                              .version = row.version,
                              .isLost = m_hooks.isLost(host),
                              .expectedOut = m_hooks.expectedOut(host)});
    }
    return true;
}

void WaveRunner::commit(const std::shared_ptr<Tick> &tick)
{
    WaveTick next = planWaveTick({.wave = tick->wave,
                                  .version = tick->version,
                                  .hosts = tick->hosts,
                                  .budgets = tick->budgets},
                                 tick->wallSeconds);
    if (next.writes.empty()) {
        m_hooks.ticked(next, true);
        return;
    }
    Commit commit{.writeId = m_writeIds.next(), .writes = next.writes};
    m_table.commit(std::move(commit), tick->deadline,
                   [this, tick, next = std::move(next)](const CommitAnswer &answer) {
                       m_hooks.ticked(next, answer.outcome == CommitOutcome::Committed);
                   });
}

} // namespace sequoiapier
