// Demand of a pool for hosts. It is the larger of two figures: the demand of the tasks at hand, up
// to the objectives of their jobs, and the demand of the arriving work, which shows in the backlog
// only late.
#include "jobs/engine.h"

#include <algorithm>

namespace sequoiapier::jobs {

namespace {

constexpr double PackingEfficiency = 0.9; // Fraction of a runner that tasks of mixed sizes fill.
// Number of runners for each runner that the arriving work fills on average. Work arrives unevenly,
// and in a pool of just sufficient size its waiting time would grow without bound.
constexpr double ArrivalHeadroom = 1.3;

} // namespace

// Returns the fraction of a task's room that is needed from now on if tasks use the room one after
// the other for as long as the job may wait. It is 1 if there is no time to spare. A late job does
// not ask for more hosts than a job in time, since it has lost most of its value already.
double Engine::urgency(const Entry &entry, const StepSpec &step, TimePoint now) const
{
    if (step.isLasting)
        return 1;
    const double runTime = m_order.runTime(entry.job.queue, step);
    return runTime
        / (runTime + m_order.spareTime(entry.job, now + m_options.hostDelay - entry.arrivedAt));
}

// Returns the capacity of one runner of the pool; empty if no runner is known.
Resources Engine::runnerCapacity() const
{
    const auto listed = std::find_if(m_runners.begin(), m_runners.end(), [](const auto &item) {
        return item.second.isListed && item.second.entry.capacity.processors > 0;
    });
    return listed != m_runners.end() ? listed->second.entry.capacity : Resources{};
}

// Returns the runner-seconds of one occurrence of the job, without its lasting tasks.
double Engine::runnerSeconds(const Job &job) const
{
    const Resources capacity = runnerCapacity();
    double seconds = 0;
    for (const StepSpec &step : job.spec.steps) {
        if (!step.isLasting)
            seconds += step.count * dominantShare(step.room(), capacity)
                * m_order.runTime(job.queue, step) / 1000;
    }
    return seconds;
}

PoolDemand Engine::demand(TimePoint now) const
{
    PoolDemand demand;
    const Resources capacity = runnerCapacity();
    Resources use;
    Resources lasting; // Included in `use`.
    for (const auto &[id, runner] : m_runners) {
        use += runner.used;
        if (!runner.isOpen(now))
            continue;
        ++demand.runners;
        if (runner.runs.empty() && runner.isFenced())
            demand.idle.push_back(id);
    }
    for (const auto &[id, live] : m_live) {
        const Entry &entry = *live;
        const Job &job = entry.job;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                const StepSpec &spec = job.spec.steps[s];
                const Step &step = occurrence.steps[s];
                const std::size_t waiting = step.waitingCount();
                if (waiting > 0)
                    use += spec.room() * (double(waiting) * urgency(entry, spec, now));
                if (spec.isLasting)
                    lasting += spec.room() * double(step.tasks.size());
                if (spec.isLasting && spec.maxPerRunner > 0) {
                    const std::uint32_t spread
                        = (spec.count + spec.maxPerRunner - 1) / spec.maxPerRunner;
                    demand.lastingSpread = std::max(demand.lastingSpread, spread);
                }
            }
        }
    }
    const double arriving
        = dominantShare(lasting, capacity) + ArrivalHeadroom * m_arrivals.perSecond(now);
    demand.needed = std::max(dominantShare(use, capacity), arriving) / PackingEfficiency;
    return demand;
}

} // namespace sequoiapier::jobs
