// Run times are averaged by queue, since declared estimates are rough. The declared estimate is
// used until the queue's first task has ended.
#include "jobs/joborder.h"

#include <algorithm>
#include <vector>

namespace sequoiapier::jobs {

namespace {

constexpr double DefaultRunTime = 1'000; // Milliseconds; for tasks without an estimate.

} // namespace

const Occurrence *JobOrder::onlyOccurrence(const Job &job)
{
    const auto found = job.occurrences.find(0);
    return found != job.occurrences.end() ? &found->second : nullptr;
}

void JobOrder::recordRunTime(std::string_view queue, double milliseconds)
{
    const auto found = m_runTimes.find(queue);
    if (found == m_runTimes.end())
        m_runTimes.emplace(queue, milliseconds);
    else
        found->second += m_options.newestWeight * (milliseconds - found->second);
}

double JobOrder::runTime(std::string_view queue, const StepSpec &step) const
{
    const auto found = m_runTimes.find(queue);
    if (found != m_runTimes.end())
        return found->second;
    return step.estimateMilliseconds > 0 ? double(step.estimateMilliseconds) : DefaultRunTime;
}

double JobOrder::criticalPath(const Job &job, const Occurrence *occurrence) const
{
    std::vector<double> ends(job.spec.steps.size());
    double longest = 0;
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        const StepSpec &step = job.spec.steps[i];
        double begin = 0;
        for (const std::uint32_t before : step.after)
            begin = std::max(begin, ends[before]);
        const bool isDone = occurrence != nullptr && occurrence->steps[i].isDone();
        ends[i] = begin + (isDone ? 0 : runTime(job.queue, step));
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double JobOrder::remainingWork(const Job &job) const
{
    const Occurrence *occurrence = onlyOccurrence(job);
    double work = 0;
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        const StepSpec &step = job.spec.steps[i];
        const std::uint32_t done = occurrence != nullptr ? occurrence->steps[i].doneCount : 0;
        work += double(step.count - done) * step.size.processors * runTime(job.queue, step);
    }
    return work;
}

// Returns the objective in milliseconds from the job's acceptance.
double JobOrder::objective(const Job &job) const
{
    return job.terms.stretch * totalCriticalPath(job) + double(job.terms.objectiveMilliseconds);
}

double JobOrder::slack(const Job &job, Duration age) const
{
    return objective(job) - double(age.count()) / 1000 - remainingCriticalPath(job);
}

double JobOrder::spareTime(const Job &job, Duration age) const
{
    const double objectiveTime = objective(job);
    const double inTime = slack(job, age);
    const double worthAnything = inTime + (m_options.lateFactor - 1) * objectiveTime;
    return inTime >= 0 ? inTime : worthAnything >= 0 ? worthAnything : objectiveTime;
}

JobOrder::Rank JobOrder::rank(const Job &job, Duration age) const
{
    Rank rank{.priority = job.terms.priority, .isBeyondShare = job.terms.isBeyondShare};
    const double objectiveTime = objective(job);
    const double spare = slack(job, age);
    rank.hasNoValue = spare < -(m_options.lateFactor - 1) * objectiveTime;
    rank.isLate = spare < 0;
    rank.work = rank.isLate ? -spare : remainingWork(job);
    return rank;
}

} // namespace sequoiapier::jobs
