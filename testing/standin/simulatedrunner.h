// SimulatedRunner simulates a runner of the platform: it checks leases, fences and run numbers, and
// reports the end of a run until it is acknowledged. The caller passes the time as `now`, so that
// it works under virtual time in tests and in real time in the stand-in.
//
// A task's payload is JSON, all fields optional: {"runMs": 100, "fail": true, "failures": 1,
// "lasts": true, "tailMs": 50, "disturbMs": 80, "checkpointBytes": 16, "tailWindowMs": 500,
// "isSlowed": true, "slowPercent": 100}. With "failures", runs of
// each task fail until that many have. With "checkpointBytes", a task always has a checkpoint,
// which is its name and padding. A task with "lasts" never ends by itself and works at its full
// pace after SettleTime. A serving task has a tail latency of tailMs, plus disturbMs of every
// disturbing task, scaled by that task's pace; with "tailWindowMs", reports have the longest one in
// that time. A task with "isSlowed" that starts beside a task with "slowPercent" takes that much
// longer.
#pragma once

#include "jobs/runner.h"
#include "testing/standin/runledger.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiapier {

class SimulatedRunner
{
public:
    static constexpr Duration StopTime = std::chrono::milliseconds(100);
    static constexpr Duration SettleTime = std::chrono::milliseconds(300);
    static constexpr Duration MaxLease = std::chrono::seconds(10);
    // Clocks in milliseconds. The first incarnation has run for a while, so that its clock is
    // further ahead of those of later ones than any lease is long.
    static constexpr std::int64_t FirstClock = 480'000;
    static constexpr std::int64_t ClockAtRestart = 1'000;
    static constexpr std::size_t MaxReportedEnds = 500; // A report holds the first ones.

    struct Start
    {
        jobs::TaskName task;
        std::uint64_t run = 0;
        std::string payload;
        std::string checkpoint;
        std::uint64_t fence = 0;
        std::int64_t until = 0; // End of the lease on the runner's clock, in milliseconds.
        Resources size; // Resources that the task takes; known to the stand-in only.
    };

    SimulatedRunner(std::string id, RunLedger &ledger, TimePoint now);

    jobs::StartOutcome start(const Start &start, TimePoint now);
    // Returns false if an owner with a higher fence has sent a command.
    bool stop(const jobs::TaskName &task, std::uint64_t run, std::uint64_t fence, TimePoint now);
    bool pace(const jobs::TaskName &task, std::uint64_t run, std::uint32_t percent,
              std::uint64_t fence, TimePoint now);
    // Returns nullopt if an owner with a higher fence has sent a command. `until` of 0 leaves the
    // lease as it is.
    std::optional<jobs::RunnerReport> renew(std::uint64_t fence, std::uint64_t seenEnds,
                                            std::int64_t until, TimePoint now);
    void advance(TimePoint now);
    // Loses all state and restarts as a new incarnation under the same identifier.
    void crash(TimePoint now);

    std::int64_t clock(TimePoint now) const;
    std::size_t runCount() const { return m_runs.size(); }
    // Longest tail latency of a serving task, in milliseconds.
    std::uint32_t longestTailLatency() const;
    // Highest pace of a task that disturbs others, in percent.
    std::uint32_t disturbingPercent() const;
    // Makes every task started from now on fail.
    void setFailing(bool isFailing) { m_isFailing = isFailing; }
    // Stops or resumes the progress of the running tasks.
    void setHanging(bool isHanging, TimePoint now)
    {
        m_isHanging = isHanging;
        m_hangingSince = now;
    }
    bool hasEndsAfter(std::uint64_t number) const
    {
        return !m_ends.empty() && m_ends.back().number > number;
    }
    const std::string &id() const { return m_id; }
    std::int64_t bornAt() const { return m_bornAt; }

private:
    struct Running
    {
        Start start;
        TimePoint begin;
        TimePoint endsAt; // End of the run unless it is stopped earlier.
        bool willFail = false;
        bool lasts = false;
        std::string checkpoint;
        std::uint32_t tailLatency = 0; // Tail latency without disturbance, in milliseconds.
        std::uint32_t disturbance = 0; // Milliseconds added to others at full pace.
        std::uint32_t percent = 100; // Pace of the task.
        std::uint32_t slowdown = 0; // Percentage by which slowed tasks take longer beside it.
        Duration tailWindow{};
        std::deque<std::pair<TimePoint, std::uint32_t>> tails; // Tail latencies in tailWindow.
        std::optional<TimePoint> stopsAt;
    };

    std::uint32_t tailLatencyOf(const Running &run) const;
    std::uint32_t reportedTailLatency(const Running &run) const;
    void recordTailLatencies(TimePoint now);
    std::uint32_t percentOf(const Running &run, TimePoint now) const;
    void end(const Running &run, jobs::EndKind kind, TimePoint now);
    Running makeRunning(const Start &start, TimePoint now) const;

    std::string m_id;
    RunLedger &m_ledger;
    std::int64_t m_bornAt = 1;
    TimePoint m_startedAt;
    std::int64_t m_clockAtStart = FirstClock;
    std::uint64_t m_fence = 0;
    std::int64_t m_until = 0;
    std::vector<Running> m_runs;
    std::deque<jobs::RunEnd> m_ends;
    std::uint64_t m_endCount = 0;
    std::uint64_t m_endsBeforeLapse = 0; // Number of ends before the lease lapsed last.
    // Highest run that was stopped or has ended here.
    std::map<jobs::TaskName, std::uint64_t> m_highestRun;
    bool m_isFailing = false;
    bool m_isHanging = false;
    TimePoint m_hangingSince{};
};

} // namespace sequoiapier
