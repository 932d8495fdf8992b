// Every step is a compare-and-set or an idempotent command, so that several controllers may tick
// concurrently and a tick may be interrupted at any point. A tick costs three table scans, plus one
// platform call and one table read for each host that is not serving; each wave's tick reads the
// fleet again.
#include "controller/fleetdriver.h"

#include "controller/moveunits.h"

#include <cmath>
#include <utility>

namespace sequoiapier {

namespace {

constexpr double AverageOutWeight = 0.2; // weight of the newest sample in the moving average

std::string_view eventOf(HostState state)
{
    switch (state) {
    case HostState::Serving:
        return "host.serving";
    case HostState::Draining:
        return "host.draining";
    case HostState::Out:
        return "host.out";
    case HostState::Joining:
        return "host.joining";
    }
    return "";
}

HostObservation toObservation(const HostReport &report)
{
    return {.fencedEpoch = report.fencedEpoch,
            .running = report.running,
            .admittedEpoch = report.admittedEpoch,
            .maintainedEpoch = report.maintainedEpoch};
}

// Whether `wave` may have hosts to start or return, or budget units to update.
bool needsTick(const WaveRow &wave, const FleetRows &rows)
{
    if (!isEnded(wave))
        return true;
    for (const HostRow &host : rows.hosts) {
        if (host.operationId == wave.id)
            return true;
    }
    for (const VersionedBudgetRow &budget : rows.budgets) {
        for (const BudgetUnit &unit : budget.row.units) {
            if (unit.holder == wave.id)
                return true;
        }
    }
    return false;
}

} // namespace

FleetDriver::FleetDriver(Hooks hooks, Options options)
    : m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_knowledge{.averageOutSeconds = double(m_options.expectedOut)}
    , m_writeIds(m_options.process, m_options.incarnation, "fleet")
    , m_mover(m_hooks.table, moverHooks(),
              {.process = m_options.process,
               .incarnation = m_options.incarnation,
               .tableTimeout = m_options.callTimeout})
    , m_runner(m_hooks.table, runnerHooks(),
               {.process = m_options.process,
                .incarnation = m_options.incarnation,
                .tableTimeout = m_options.callTimeout * 2})
{ }

HostMover::Hooks FleetDriver::moverHooks()
{
    return {.observe =
                [this](const HostRow &host) {
                    const auto found = m_knowledge.reports.find(host.host);
                    return found != m_knowledge.reports.end() ? toObservation(found->second)
                                                              : HostObservation{};
                },
            .drain = [this](const HostRow &host) { command(host, HostCommandKind::Drain); },
            .maintain = [this](const HostRow &host) { command(host, HostCommandKind::Maintain); },
            .admit = [this](const HostRow &host) { command(host, HostCommandKind::Admit); },
            .changed = [this](const HostRow &host) { onHostChanged(host); }};
}

WaveRunner::Hooks FleetDriver::runnerHooks()
{
    return {.isLost = [this](const HostRow &host) { return m_knowledge.isLost(host); },
            .expectedOut =
                [this](const HostRow &) {
                    return std::int64_t(std::llround(m_knowledge.averageOutSeconds));
                },
            .ticked = [this](const WaveTick &waveTick,
                             bool isCommitted) { onWaveTick(waveTick, isCommitted); }};
}

FleetKnowledge FleetDriver::knowledge() const
{
    FleetKnowledge known = m_knowledge;
    known.hasPlatform = isListFresh();
    return known;
}

void FleetDriver::tick()
{
    m_hooks.platform.list(deadline(), [this](const auto &hosts) { onList(hosts); });
    if (m_isReading)
        return;
    m_isReading = true;
    readFleetRows(m_hooks.table, deadline(), [this](const Result<FleetRows> &rows) {
        m_isReading = false;
        if (rows)
            onRows(rows.value());
    });
}

void FleetDriver::onList(const Result<std::vector<HostListing>> &hosts)
{
    if (!hosts)
        return;
    m_listedAt = m_hooks.now();
    m_knowledge.listed.clear();
    for (const HostListing &host : hosts.value())
        m_knowledge.listed[host.host] = host;
}

void FleetDriver::onRows(const FleetRows &rows)
{
    updateAverageOut(rows);
    advanceHosts(rows);
    updateWaves(rows);
    setPoolLimits(rows);
    releaseUnits(rows);
}

bool FleetDriver::isListFresh() const
{
    return m_listedAt != TimePoint{} && m_hooks.now() - m_listedAt <= m_options.maxListAge;
}

void FleetDriver::advanceHosts(const FleetRows &rows)
{
    for (const HostRow &host : rows.hosts) {
        if (host.state != HostState::Serving) {
            advance(host.host);
            continue;
        }
        m_knowledge.reports.erase(host.host);
        const auto listed = m_knowledge.listed.find(host.host);
        if (listed != m_knowledge.listed.end() && listed->second.admittedEpoch < host.epoch)
            readmit(host);
    }
}

void FleetDriver::advance(const std::string &host)
{
    m_hooks.platform.observe(host, deadline(), [this, host](const Result<HostReport> &report) {
        if (report)
            m_knowledge.reports[host] = report.value();
        else
            m_knowledge.reports.erase(host);
        m_mover.advance(host, m_hooks.now(), m_hooks.wallSeconds());
    });
}

// The list may be outdated. That is harmless: a host that was admitted after the list was made
// repeats its admission, and a host whose row has changed since ignores the lower epoch.
void FleetDriver::readmit(const HostRow &host)
{
    command(host, HostCommandKind::Admit);
}

void FleetDriver::updateWaves(const FleetRows &rows)
{
    m_activeWaves.clear();
    for (const VersionedWaveRow &wave : rows.waves) {
        if (needsTick(wave.row, rows))
            m_activeWaves.push_back(wave.row.id);
    }
    tickWaves();
}

void FleetDriver::tickWaves()
{
    if (!isListFresh())
        return;
    for (const std::string &wave : m_activeWaves)
        m_runner.tick(wave, m_hooks.now(), m_hooks.wallSeconds());
}

void FleetDriver::onHostChanged(const HostRow &host)
{
    m_hooks.report(eventOf(host.state),
                   {.subject = host.host,
                    .epoch = host.epoch,
                    .cause = host.operationId,
                    .detail = host.pool});
    if (host.state == HostState::Serving)
        tickWaves();
    else
        advance(host.host);
}

void FleetDriver::onWaveTick(const WaveTick &waveTick, bool isCommitted)
{
    for (const std::string &host : waveTick.progress.overdue) {
        if (m_reportedOverdue[host] != std::uint64_t(waveTick.next.startedAt)) {
            m_reportedOverdue[host] = std::uint64_t(waveTick.next.startedAt);
            m_hooks.report("host.overdue", {.subject = host, .cause = waveTick.next.id});
        }
    }
    if (!isCommitted || waveTick.writes.empty())
        return;
    for (const std::string &host : waveTick.started) {
        m_hooks.report("host.draining", {.subject = host, .cause = waveTick.next.id});
        advance(host);
    }
    if (waveTick.next.state == WaveState::Stopped)
        m_hooks.report("wave.stopped",
                       {.subject = waveTick.next.id, .detail = waveTick.next.stopReason});
    if (waveTick.next.state == WaveState::Finished)
        m_hooks.report("wave.finished", {.subject = waveTick.next.id});
}

void FleetDriver::updateAverageOut(const FleetRows &rows)
{
    const std::int64_t now = m_hooks.wallSeconds();
    for (const HostRow &host : rows.hosts) {
        const auto since = m_outSince.find(host.host);
        const bool isOut = host.purpose == HostPurpose::Maintenance;
        if (isOut && since == m_outSince.end())
            m_outSince[host.host] = now;
        if (isOut || since == m_outSince.end())
            continue;
        if (host.maintainedAt >= since->second) {
            const double sample = double(now - since->second);
            m_knowledge.averageOutSeconds
                += AverageOutWeight * (sample - m_knowledge.averageOutSeconds);
        }
        m_outSince.erase(since);
    }
}

void FleetDriver::setPoolLimits(const FleetRows &rows)
{
    const Configuration *configuration = m_hooks.configuration();
    if (configuration == nullptr)
        return;
    for (const VersionedBudgetRow &budget : rows.budgets) {
        for (const PoolConfig &pool : configuration->pools) {
            const bool isNewer = budget.row.limitVersion < configuration->version;
            if (budget.row.domain != "pool/" + pool.name || !isNewer
                || budget.row.limit == pool.maxUnavailable)
                continue;
            BudgetRow next = budget.row;
            next.limit = pool.maxUnavailable;
            next.limitVersion = configuration->version;
            commit({{.key = budgetKey(next.domain),
                     .value = toJson(next),
                     .baseVersion = budget.version}});
        }
    }
}

void FleetDriver::releaseUnits(const FleetRows &rows)
{
    std::vector<RowWrite> writes = releaseMoveUnits(rows);
    if (!writes.empty())
        commit(std::move(writes));
}

// The answer is ignored: the next tick reads the rows again.
void FleetDriver::commit(std::vector<RowWrite> writes)
{
    m_hooks.table.commit({.writeId = m_writeIds.next(), .writes = std::move(writes)}, deadline(),
                         [](const CommitAnswer &) {});
}

void FleetDriver::command(const HostRow &host, HostCommandKind kind)
{
    m_hooks.platform.command(
        {.host = host.host, .kind = kind, .epoch = host.epoch, .pool = host.pool}, deadline());
}

} // namespace sequoiapier
