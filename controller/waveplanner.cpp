// A tick first updates the budgets for hosts that are back, lost or overdue, then the state of the
// wave, and then starts hosts as far as the budgets allow. Hosts are ordered by their bottleneck
// domain, the one with the most remaining maintenance time per unit of its limit, because that
// domain bounds the end of the wave. Within a domain the host with the longest maintenance goes
// first, so that no long one remains alone at the end.
//
// A failure domain (rack or zone) has failed when at least half of its hosts, and at least two, are
// lost by accident. Single losses use budget units and do not stop a wave.
//
// Cost: O(n log n) in the number of hosts.
#include "controller/waveplanner.h"

#include "controller/hostmove.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace sequoiapier {

namespace {

constexpr std::size_t MinFailedHosts = 2;
constexpr std::size_t FailedFractionDivisor = 2; // 1 / 2 of a domain's hosts

class Planner
{
public:
    Planner(const WaveView &view, std::int64_t now)
        : m_view(view)
        , m_now(now)
        , m_budget(view.budgets)
        , m_pools(view.wave.pools.begin(), view.wave.pools.end())
        , m_namedHosts(view.wave.hosts.begin(), view.wave.hosts.end())
        , m_skipped(view.wave.skipped.begin(), view.wave.skipped.end())
    {
        m_tick.next = view.wave;
        m_leadTime = leadTime();
    }

    WaveTick run()
    {
        updateUnits();
        releaseStrayUnits();
        handleOverdueHosts();
        updateState();
        if (m_tick.next.state == WaveState::Running)
            startHosts();
        report();
        collectWrites();
        return std::move(m_tick);
    }

private:
    bool isInScope(const HostRow &row) const
    {
        return m_pools.contains(row.pool) || m_namedHosts.contains(row.host);
    }

    bool isOut(const HostRow &row) const { return row.operationId == m_view.wave.id; }

    bool isDone(const HostRow &row) const
    {
        const WaveRow &wave = m_view.wave;
        if (wave.period > 0)
            return row.maintainedAt + wave.period - m_leadTime > m_now;
        return row.maintainedAt >= wave.startedAt;
    }

    bool isRemaining(const WaveHost &host) const
    {
        return isInScope(host.row) && !isOut(host.row) && !isDone(host.row)
            && !m_skipped.contains(host.row.host);
    }

    // How many seconds before the end of its period a host becomes due in a periodic wave: twice
    // the time that the whole wave needs, at most a third of the period.
    std::int64_t leadTime() const
    {
        std::int64_t work = 0;
        for (const WaveHost &host : m_view.hosts) {
            if (isInScope(host.row))
                work += host.expectedOut;
        }
        return std::min(m_view.wave.period / 3, 2 * work / std::int64_t(m_view.wave.maxOut));
    }

    // Releases the units of this wave's hosts that serve again and of lost hosts that are back, and
    // records accidental losses. The host's row is written unchanged, so that the commit conflicts
    // if the row has changed since it was read.
    void updateUnits()
    {
        for (const WaveHost &host : m_view.hosts) {
            const BudgetUnit *unit = m_budget.unitOf(host.row);
            const bool isServing = host.row.state == HostState::Serving;
            if (host.isLost && isServing) {
                if (unit == nullptr || (unit->holder == m_view.wave.id)) {
                    m_budget.release(host.row);
                    m_budget.recordLoss(host.row);
                    change(host, host.row);
                }
            } else if (unit != nullptr && isServing
                       && (unit->isAccidental() || unit->holder == m_view.wave.id)) {
                m_budget.release(host.row);
                change(host, host.row);
            }
        }
    }

    // Releases units in the budget of a pool that their host has left.
    void releaseStrayUnits()
    {
        std::map<std::string_view, const WaveHost *> byName;
        for (const WaveHost &host : m_view.hosts)
            byName[host.row.host] = &host;
        for (const VersionedBudgetRow &budget : m_view.budgets) {
            if (!budget.row.domain.starts_with("pool/"))
                continue;
            for (const BudgetUnit &unit : budget.row.units) {
                const auto host = byName.find(unit.host);
                if (host == byName.end() || "pool/" + host->second->row.pool == budget.row.domain)
                    continue;
                m_budget.releaseIn(budget.row.domain, unit.host);
                change(*host->second, host->second->row);
            }
        }
    }

    void handleOverdueHosts()
    {
        for (const WaveHost &host : m_view.hosts) {
            if (!isOut(host.row) || host.row.state != HostState::Draining)
                continue;
            const bool isOverdue = isDrainOverdue(host.row, m_now);
            if (isOverdue)
                m_tick.progress.overdue.push_back(host.row.host);
            if (m_view.wave.state == WaveState::Cancelled)
                undo(host);
            else if (isOverdue)
                handleOverdue(host);
        }
    }

    void handleOverdue(const WaveHost &host)
    {
        WaveRow &next = m_tick.next;
        if (next.overduePolicy == OverduePolicy::Stop
            || next.skipped.size() >= WaveRow::MaxSkipped) {
            if (next.state == WaveState::Running)
                stop(host.row.host + " did not drain in time");
        } else if (undo(host)) {
            next.skipped.push_back(host.row.host);
            m_skipped.insert(host.row.host);
        }
    }

    bool undo(const WaveHost &host)
    {
        const Result<HostRow> row = undoDrain(host.row);
        if (!row || m_changes.size() >= MaxWaveChanges)
            return false;
        change(host, row.value());
        return true;
    }

    void updateState()
    {
        WaveRow &next = m_tick.next;
        const std::string failed = failedDomain();
        if (next.state == WaveState::Running && !failed.empty()) {
            stop(failed + " has failed");
        } else if (next.state == WaveState::Stopped && next.resumesAfterRepair && failed.empty()
                   && next.stopReason.ends_with(" has failed")) {
            next.state = WaveState::Running;
            next.stopReason.clear();
        }
    }

    void stop(const std::string &reason)
    {
        m_tick.next.state = WaveState::Stopped;
        m_tick.next.stopReason = reason;
    }

    // The first failed rack or zone among those of the wave's hosts; empty if none has failed.
    std::string failedDomain() const
    {
        std::map<std::string, std::size_t> sizes;
        std::set<std::string> waveDomains;
        for (const WaveHost &host : m_view.hosts) {
            for (const std::string &domain : {"rack/" + host.row.rack, "zone/" + host.row.zone}) {
                ++sizes[domain];
                if (isInScope(host.row))
                    waveDomains.insert(domain);
            }
        }
        for (const std::string &domain : waveDomains) {
            const std::size_t lost = m_budget.accidentalLossCount(domain);
            if (lost >= MinFailedHosts && lost * FailedFractionDivisor >= sizes[domain])
                return domain;
        }
        return {};
    }

    // Remaining maintenance time per unit of the limit, in seconds, by domain.
    std::map<std::string, double> remainingSecondsByDomain() const
    {
        std::map<std::string, double> seconds;
        for (const WaveHost &host : m_view.hosts) {
            if (!isRemaining(host))
                continue;
            for (const std::string &domain : domainsOf(host.row)) {
                const BudgetRow *row = m_budget.find(domain);
                if (row != nullptr)
                    seconds[domain] += double(host.expectedOut) / std::max(1U, row->limit);
            }
        }
        return seconds;
    }

    struct Candidate
    {
        const WaveHost *host;
        double seconds; // remaining maintenance time per unit of its bottleneck domain
    };

    std::vector<Candidate> candidates() const
    {
        const std::map<std::string, double> seconds = remainingSecondsByDomain();
        std::vector<Candidate> found;
        for (const WaveHost &host : m_view.hosts) {
            if (!isRemaining(host) || host.isLost || host.row.state != HostState::Serving)
                continue;
            Candidate candidate{&host, 0};
            for (const std::string &domain : domainsOf(host.row)) {
                const auto bound = seconds.find(domain);
                if (bound != seconds.end())
                    candidate.seconds = std::max(candidate.seconds, bound->second);
            }
            found.push_back(candidate);
        }
        return found;
    }

    bool startsBefore(const Candidate &a, const Candidate &b) const
    {
        const bool isPeriodic = m_view.wave.period > 0;
        if (isPeriodic && a.host->row.maintainedAt != b.host->row.maintainedAt)
            return a.host->row.maintainedAt < b.host->row.maintainedAt;
        if (a.seconds != b.seconds)
            return a.seconds > b.seconds;
        return a.host->expectedOut > b.host->expectedOut;
    }

    void startHosts()
    {
        std::vector<Candidate> waiting = candidates();
        std::stable_sort(waiting.begin(), waiting.end(),
                         [this](const auto &a, const auto &b) { return startsBefore(a, b); });
        std::size_t out = std::size_t(
            std::count_if(m_view.hosts.begin(), m_view.hosts.end(), [this](const WaveHost &host) {
                return isOut(host.row) && !host.isLost;
            }));
        for (const Candidate &candidate : waiting) {
            if (out >= m_view.wave.maxOut)
                m_waitsFor.insert("the wave has " + std::to_string(out) + " hosts out, its limit");
            if (out >= m_view.wave.maxOut || m_changes.size() >= MaxWaveChanges)
                return;
            out += start(*candidate.host) ? 1 : 0;
        }
    }

    bool start(const WaveHost &host)
    {
        const Result<HostRow> row
            = beginMaintenance(host.row, m_view.wave.id, m_now + m_view.wave.drainTimeout);
        const Result<void> acquired
            = row ? m_budget.acquire(host.row, m_view.wave.id) : row.error();
        if (!acquired) {
            m_waitsFor.insert(acquired.error().detail);
            return false;
        }
        change(host, row.value());
        m_tick.started.push_back(host.row.host);
        return true;
    }

    void change(const WaveHost &host, const HostRow &row)
    {
        m_changes[host.row.host]
            = {.key = hostKey(host.row.host), .value = toJson(row), .baseVersion = host.version};
    }

    void report()
    {
        WaveProgress &progress = m_tick.progress;
        std::size_t remainingHosts = 0;
        double remainingSeconds = 0;
        for (const WaveHost &host : m_view.hosts) {
            if (!isInScope(host.row) && !isOut(host.row))
                continue;
            ++progress.total;
            const bool isWaiting = isRemaining(host);
            progress.out += isOut(host.row) ? 1 : 0;
            progress.done += !isWaiting && !isOut(host.row) && isDone(host.row) ? 1 : 0;
            progress.lost += isWaiting && host.isLost ? 1 : 0;
            if (isWaiting || isOut(host.row)) {
                ++remainingHosts;
                remainingSeconds += double(host.expectedOut);
            }
        }
        progress.skipped = m_tick.next.skipped;
        progress.waitsFor.assign(m_waitsFor.begin(), m_waitsFor.end());
        double bound = remainingSeconds / m_view.wave.maxOut;
        for (const auto &[domain, seconds] : remainingSecondsByDomain())
            bound = std::max(bound, seconds);
        progress.expectedEnd = m_now + std::int64_t(std::ceil(bound));
        progress.isLate = m_view.wave.deadline > 0 && progress.expectedEnd > m_view.wave.deadline;
        const bool isAllBack = remainingHosts == 0 && m_tick.started.empty();
        if (isAllBack && m_view.wave.period == 0 && m_tick.next.state == WaveState::Running)
            m_tick.next.state = WaveState::Finished;
    }

    // The wave's row is written together with any start of a host, so that no host is started after
    // the wave was paused.
    void collectWrites()
    {
        for (const auto &[host, write] : m_changes)
            m_tick.writes.push_back(write);
        for (RowWrite &write : m_budget.writes())
            m_tick.writes.push_back(std::move(write));
        if (!m_tick.started.empty() || m_tick.next != m_view.wave) {
            m_tick.writes.push_back({.key = waveKey(m_view.wave.id),
                                     .value = toJson(m_tick.next),
                                     .baseVersion = m_view.version});
        }
    }

    const WaveView &m_view;
    std::int64_t m_now;
    AvailabilityBudget m_budget;
    std::set<std::string> m_pools;
    std::set<std::string> m_namedHosts;
    std::set<std::string> m_skipped;
    std::set<std::string> m_waitsFor;
    std::int64_t m_leadTime = 0;
    WaveTick m_tick;
    std::map<std::string, RowWrite> m_changes;
};

} // namespace

WaveTick planWaveTick(const WaveView &view, std::int64_t now)
{
    return Planner(view, now).run();
}

} // namespace sequoiapier
