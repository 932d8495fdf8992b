#include "testing/standin/simulatedrunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration DefaultRunTime = std::chrono::milliseconds(100);
constexpr std::uint32_t FullPercent = 100;

} // namespace

SimulatedRunner::SimulatedRunner(std::string id, RunLedger &ledger, TimePoint now)
    : m_id(std::move(id))
    , m_ledger(ledger)
    , m_startedAt(now)
{ }

std::int64_t SimulatedRunner::clock(TimePoint now) const
{
    return m_clockAtStart
        + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt).count();
}

SimulatedRunner::Running SimulatedRunner::makeRunning(const Start &start, TimePoint now) const
{
    const nlohmann::json payload = nlohmann::json::parse(start.payload, nullptr, false);
    Running run{.start = start, .begin = now, .endsAt = now + DefaultRunTime};
    if (payload.is_object()) {
        run.endsAt = now + std::chrono::milliseconds(payload.value("runMs", 100));
        const std::size_t failures = payload.value("failures", 0U);
        run.willFail = payload.value("fail", false)
            || (failures > 0 && m_ledger.failedRuns(start.task) < failures);
        run.lasts = payload.value("lasts", false);
        run.tailLatency = payload.value("tailMs", 0U);
        const std::size_t checkpointBytes = payload.value("checkpointBytes", 0U);
        if (checkpointBytes > 0) {
            run.checkpoint = toString(start.task);
            run.checkpoint.resize(checkpointBytes, '.');
        }
        run.disturbance = payload.value("disturbMs", 0U);
        run.tailWindow = std::chrono::milliseconds(payload.value("tailWindowMs", 0));
        run.slowdown = payload.value("slowPercent", 0U);
        std::uint32_t slowdown = 0;
        for (const Running &other : m_runs)
            slowdown = std::max(slowdown, other.slowdown);
        if (payload.value("isSlowed", false))
            run.endsAt += (run.endsAt - now) * slowdown / FullPercent;
    }
    run.willFail = run.willFail || m_isFailing;
    return run;
}

jobs::StartOutcome SimulatedRunner::start(const Start &start, TimePoint now)
{
    advance(now);
    if (start.fence < m_fence)
        return jobs::StartOutcome::Fenced;
    m_fence = start.fence;
    for (const Running &run : m_runs) {
        if (run.start.task == start.task && run.start.run == start.run)
            return jobs::StartOutcome::Started;
    }
    if (start.run <= m_highestRun[start.task])
        return jobs::StartOutcome::OldRun;
    if (start.until <= clock(now))
        return jobs::StartOutcome::Late;
    m_until = std::max(m_until, std::min(start.until, clock(now) + MaxLease.count() / 1'000));
    m_runs.push_back(makeRunning(start, now));
    m_ledger.begin({.task = start.task,
                    .run = start.run,
                    .runner = m_id,
                    .checkpoint = start.checkpoint,
                    .begin = now});
    return jobs::StartOutcome::Started;
}

bool SimulatedRunner::stop(const jobs::TaskName &task, std::uint64_t run, std::uint64_t fence,
                           TimePoint now)
{
    advance(now);
    if (fence < m_fence)
        return false;
    m_fence = fence;
    m_highestRun[task] = std::max(m_highestRun[task], run);
    for (Running &running : m_runs) {
        if (running.start.task == task && running.start.run <= run && !running.stopsAt)
            running.stopsAt = now + StopTime;
    }
    return true;
}

bool SimulatedRunner::pace(const jobs::TaskName &task, std::uint64_t run, std::uint32_t percent,
                           std::uint64_t fence, TimePoint now)
{
    advance(now);
    if (fence < m_fence)
        return false;
    m_fence = fence;
    for (Running &running : m_runs) {
        if (running.start.task == task && running.start.run == run)
            running.percent = percent;
    }
    return true;
}

std::uint32_t SimulatedRunner::tailLatencyOf(const Running &run) const
{
    std::uint32_t tailLatency = run.tailLatency;
    for (const Running &other : m_runs) {
        if (run.tailLatency > 0)
            tailLatency += other.disturbance * other.percent / FullPercent;
    }
    return tailLatency;
}

std::uint32_t SimulatedRunner::reportedTailLatency(const Running &run) const
{
    std::uint32_t longest = tailLatencyOf(run);
    for (const auto &[at, tail] : run.tails)
        longest = std::max(longest, tail);
    return longest;
}

void SimulatedRunner::recordTailLatencies(TimePoint now)
{
    for (Running &run : m_runs) {
        if (run.tailWindow == Duration{})
            continue;
        run.tails.emplace_back(now, tailLatencyOf(run));
        while (run.tails.front().first < now - run.tailWindow)
            run.tails.pop_front();
    }
}

std::uint32_t SimulatedRunner::longestTailLatency() const
{
    std::uint32_t longest = 0;
    for (const Running &run : m_runs)
        longest = std::max(longest, tailLatencyOf(run));
    return longest;
}

std::uint32_t SimulatedRunner::disturbingPercent() const
{
    std::uint32_t highest = 0;
    for (const Running &run : m_runs)
        highest = std::max(highest, run.disturbance > 0 ? run.percent : 0);
    return highest;
}

std::optional<jobs::RunnerReport> SimulatedRunner::renew(std::uint64_t fence,
                                                         std::uint64_t seenEnds, std::int64_t until,
                                                         TimePoint now)
{
    advance(now);
    if (fence < m_fence)
        return std::nullopt;
    m_fence = fence;
    if (until > m_until)
        m_until = std::min(until, clock(now) + MaxLease.count() / 1'000);
    while (!m_ends.empty() && m_ends.front().number <= seenEnds) {
        m_ledger.acknowledge(m_ends.front(), m_ends.front().number <= m_endsBeforeLapse);
        m_ends.pop_front();
    }
    jobs::RunnerReport report{.clock = clock(now), .bornAt = m_bornAt};
    for (const Running &run : m_runs) {
        report.running.push_back({.task = run.start.task,
                                  .run = run.start.run,
                                  .checkpoint = run.checkpoint,
                                  .percent = percentOf(run, now),
                                  .measurement = reportedTailLatency(run)});
    }
    const std::size_t reported = std::min(m_ends.size(), MaxReportedEnds);
    report.ends.assign(m_ends.begin(), m_ends.begin() + std::ptrdiff_t(reported));
    report.areEndsComplete = reported < MaxReportedEnds;
    return report;
}

// The pace of a task that lasts, else its progress; both in percent.
std::uint32_t SimulatedRunner::percentOf(const Running &run, TimePoint now) const
{
    if (run.lasts)
        return now >= run.begin + SettleTime ? run.percent : 0;
    const Duration duration = run.endsAt - run.begin;
    const Duration done = (m_isHanging ? m_hangingSince : now) - run.begin;
    if (duration <= Duration{})
        return FullPercent;
    return std::uint32_t(std::clamp<std::int64_t>(FullPercent * done / duration, 0, FullPercent));
}

void SimulatedRunner::end(const Running &run, jobs::EndKind kind, TimePoint now)
{
    std::uint64_t &highest = m_highestRun[run.start.task];
    highest = std::max(highest, run.start.run);
    const std::string stopped = kind == jobs::EndKind::Stopped ? "saved" : "";
    m_ends.push_back({.number = ++m_endCount,
                      .task = run.start.task,
                      .run = run.start.run,
                      .kind = kind,
                      .checkpoint = run.checkpoint.empty() ? stopped : run.checkpoint});
    m_ledger.end(run.start.task, run.start.run, toString(kind), now);
}

void SimulatedRunner::advance(TimePoint now)
{
    const bool hasLapsed = clock(now) > m_until;
    if (hasLapsed)
        m_endsBeforeLapse = m_endCount;
    std::vector<Running> remaining;
    for (Running &run : m_runs) {
        if (run.stopsAt && now >= *run.stopsAt)
            end(run, jobs::EndKind::Stopped, now);
        else if (hasLapsed)
            end(run, jobs::EndKind::Lapsed, now);
        else if (!run.lasts && !m_isHanging && now >= run.endsAt)
            end(run, run.willFail ? jobs::EndKind::Failed : jobs::EndKind::Done, now);
        else
            remaining.push_back(std::move(run));
    }
    m_runs = std::move(remaining);
    recordTailLatencies(now);
}

void SimulatedRunner::crash(TimePoint now)
{
    for (const Running &run : m_runs)
        m_ledger.end(run.start.task, run.start.run, "crashed", now);
    m_runs.clear();
    m_ends.clear();
    m_highestRun.clear();
    m_endCount = 0;
    m_endsBeforeLapse = 0;
    m_fence = 0;
    m_until = 0;
    m_startedAt = now;
    m_clockAtStart = ClockAtRestart;
    ++m_bornAt;
}

} // namespace sequoiapier
