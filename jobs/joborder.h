// JobOrder: ranks the waiting steps and estimates the run times of tasks.
//
//   order.recordRunTime(queue, milliseconds);        // a task has ended successfully
//   JobOrder::Rank rank = order.rank(job, age);
//   std::sort(steps by rank);                        // the smallest rank goes first
//
// A queue may ask for five times its mean for some seconds, which is more than its pool can hold.
// First come, first served would then make every job late. Jobs that can still meet their objective
// therefore come first, ordered by their remaining work, so that as many as possible are in time.
// Late jobs follow, the least late first. Jobs that exceed their team's share come after the jobs
// within the shares of all teams. Cost: O(1) for each job.
#pragma once

#include "jobs/job.h"
#include "sequoiapier/bootclock.h"

#include <compare>
#include <map>
#include <string>

namespace sequoiapier::jobs {

class JobOrder
{
public:
    struct Options
    {
        double newestWeight = 0.1; // Weight of the newest run time in the moving average.
        double lateFactor = 3; // A job that takes more than this many objectives has no value left.
    };

    struct Rank
    {
        std::uint32_t priority = 0;
        bool hasNoValue = false; // So late that it has no value left.
        bool isBeyondShare = false;
        bool isLate = false;
        double work = 0;

        auto operator<=>(const Rank &) const = default;
    };

    explicit JobOrder(Options options)
        : m_options(options)
    { }

    void recordRunTime(std::string_view queue, double milliseconds);
    // Returns the expected run time of a task of the step in milliseconds.
    double runTime(std::string_view queue, const StepSpec &step) const;
    // Returns the length of the critical path in milliseconds: of the steps that are not done, and
    // of all steps.
    double remainingCriticalPath(const Job &job) const
    {
        return criticalPath(job, onlyOccurrence(job));
    }
    double totalCriticalPath(const Job &job) const { return criticalPath(job, nullptr); }
    // Returns the work of the tasks that are not done, in core-milliseconds.
    double remainingWork(const Job &job) const;
    // Returns how many milliseconds the job may still wait and be in time; negative if it will be
    // late. `age` is the time since the job was accepted.
    double slack(const Job &job, Duration age) const;
    // Returns how many milliseconds the job may wait before it loses value: until it would miss its
    // objective, or, if it is late, until it would have no value left. For a job without value it
    // is the job's objective.
    double spareTime(const Job &job, Duration age) const;
    Rank rank(const Job &job, Duration age) const;

private:
    static const Occurrence *onlyOccurrence(const Job &job);
    double criticalPath(const Job &job, const Occurrence *occurrence) const;
    double objective(const Job &job) const;

    Options m_options;
    std::map<std::string, double, std::less<>> m_runTimes; // Moving average by queue.
};

} // namespace sequoiapier::jobs
