// SimulatedRunner: a runner of the platform: leases, fences, run numbers, ends until they are
// acknowledged. Driven with `now`, so that it serves tests under virtual time and the stand-in
// alike.
//
// A task's payload is JSON, all fields optional: {"runMs": 100, "fail": true, "lasts": true,
// "tailMs": 50, "disturbMs": 80}. A task that lasts is at full work after SettleTime. One that
// serves has a tail of tailMs, and of so much more as the others disturb it at their pace.
#pragma once

#include "jobs/runner.h"
#include "testing/standin/runledger.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

class SimulatedRunner
{
public:
    static constexpr Duration StopTime = std::chrono::milliseconds(100);
    static constexpr Duration SettleTime = std::chrono::milliseconds(300);
    static constexpr Duration MaxLease = std::chrono::seconds(10);

    struct Start
    {
        jobs::TaskName task;
        std::uint64_t run = 0;
        std::string payload;
        std::string checkpoint;
        std::uint64_t fence = 0;
        std::int64_t until = 0; // on its clock, in milliseconds
        Resources size; // the stand-in's own knowledge of what a task takes
    };

    SimulatedRunner(std::string id, RunLedger &ledger, TimePoint now);

    jobs::StartOutcome start(const Start &start, TimePoint now);
    // False if a later owner has given orders.
    bool stop(const jobs::TaskName &task, std::uint64_t run, std::uint64_t fence, TimePoint now);
    bool pace(const jobs::TaskName &task, std::uint64_t run, std::uint32_t percent,
              std::uint64_t fence, TimePoint now);
    // nullopt if a later owner has given orders. `until` of 0 renews nothing.
    std::optional<jobs::RunnerReport> renew(std::uint64_t fence, std::uint64_t seenEnds,
                                            std::int64_t until, TimePoint now);
    void advance(TimePoint now);
    // It loses everything and comes back as another life under the same identifier.
    void crash(TimePoint now);

    std::int64_t clock(TimePoint now) const;
    std::size_t runCount() const { return m_runs.size(); }
    // Milliseconds; of the serving task with the longest.
    std::uint32_t longestTail() const;
    // Highest pace of a task that disturbs.
    std::uint32_t disturbingPercent() const;
    // Fails all that it starts.
    void setFailing(bool isFailing) { m_isFailing = isFailing; }
    // What is running stands still.
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
        TimePoint endsAt; // of its own
        bool willFail = false;
        bool lasts = false;
        std::uint32_t tail = 0; // milliseconds, undisturbed
        std::uint32_t disturbance = 0; // milliseconds that it adds at full pace
        std::uint32_t percent = 100; // its pace
        std::optional<TimePoint> stopsAt;
    };

    std::uint32_t tailOf(const Running &run) const;
    std::uint32_t percentOf(const Running &run, TimePoint now) const;
    void end(const Running &run, jobs::EndKind kind, TimePoint now);
    Running makeRunning(const Start &start, TimePoint now) const;

    std::string m_id;
    RunLedger &m_ledger;
    std::int64_t m_bornAt = 1;
    TimePoint m_startedAt;
    std::uint64_t m_fence = 0;
    std::int64_t m_until = 0;
    std::vector<Running> m_runs;
    std::deque<jobs::RunEnd> m_ends;
    std::uint64_t m_endCount = 0;
    std::map<jobs::TaskName, std::uint64_t> m_highestRun; // stopped or ended here
    bool m_isFailing = false;
    bool m_isHanging = false;
    TimePoint m_hangingSince{};
};

} // namespace sequoiapier
