// What the engine contributes to the admission of jobs: the room of the pool, its backlog by rank,
// and how accepted jobs have ended. The backlog is summed up at plan time, at most once in
// Options::snapshotInterval, so that a submission costs the same however many jobs there are.
#include "jobs/engine.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sequoiapier::jobs {

namespace {

// Runs are half done on average.
constexpr double RestOfRuns = 0.5;
// Lasting tasks may fill a pool. At least this fraction of its runners is counted on, since they
// may end and hosts may be added.
constexpr double MinRunnerFraction = 0.1;

std::string describe(const Job &job, const Admission::Decision &decision)
{
    constexpr std::size_t MaxText = 200;
    char text[MaxText];
    std::snprintf(text, sizeof text,
                  ", backlog %.1f runner-seconds, capacity %.1f runners, predicted end in %.1f s, "
                  "limit %.1f s, return in %.0f s",
                  decision.backlog, decision.runners, decision.predictedSeconds,
                  decision.limitSeconds,
                  std::chrono::duration<double>(decision.retryAfter).count());
    return "queue " + job.queue + ", team " + job.team + text;
}

} // namespace

// Jobs of a queue without an objective can't be too late. Jobs at set times start later.
bool Engine::isRefusable(const Job &job)
{
    return job.terms.objectiveMilliseconds > 0 && !job.spec.isTimed()
        && std::none_of(job.spec.steps.begin(), job.spec.steps.end(),
                        [](const StepSpec &step) { return step.isLasting; });
}

// Returns the time to return if the job is refused. The work of refused jobs counts as arriving, so
// that the pool gets the hosts that it would need for them.
std::optional<Duration> Engine::refusal(Entry &entry, TimePoint now)
{
    const Job &job = entry.job;
    if (!m_options.admission.isOn || !isRefusable(job))
        return std::nullopt;
    const Admission::Decision decision = m_admission.decide(admissionRequest(job), now);
    if (decision.isAccepted) {
        entry.prediction = decision.prediction;
        entry.firstRefusedAt = decision.firstRefusedAt.value_or(TimePoint::max());
        return std::nullopt;
    }
    m_arrivals.add(runnerSeconds(job), now);
    note("job.refused", {.job = job.id}, describe(job, decision));
    return decision.retryAfter;
}

Admission::Request Engine::admissionRequest(const Job &job) const
{
    const JobOrder::Rank rank = m_order.rank(job, {});
    Admission::Request request{.id = job.id, .queue = job.queue, .team = job.team};
    request.load = {.priority = rank.priority,
                    .isBeyondShare = rank.isBeyondShare,
                    .work = rank.work,
                    .runnerSeconds = runnerSeconds(job)};
    const double path = m_order.totalCriticalPath(job);
    request.pathSeconds = path / 1000;
    request.objectiveSeconds = (m_order.slack(job, {}) + path) / 1000;
    request.limitSeconds = m_options.order.lateFactor * request.objectiveSeconds;
    const double runTime = m_order.runTime(job.queue, job.spec.steps.front());
    request.pathSteps = std::uint32_t(std::max(std::lround(path / runTime), 1L));
    if (const TeamConfig *team = m_configuration.findTeam(job.team)) {
        Resources work;
        for (const StepSpec &step : job.spec.steps)
            work += step.size * (step.count * m_order.runTime(job.queue, step) / 1000);
        request.load.teamSeconds = dominantShare(work, team->resourceCeiling);
    }
    return request;
}

// Runners that can't be reached are not counted on, unless they are most of the pool: then it is
// more likely that this owner is cut off. Runners that are not called because the store is lost
// have missed no call.
Admission::Room Engine::admissionRoom(TimePoint now) const
{
    std::uint32_t usable = 0;
    std::uint32_t reached = 0;
    std::uint32_t answered = 0;
    std::uint32_t listed = 0;
    for (const auto &[id, runner] : m_runners) {
        if (!runner.isListed)
            continue;
        ++listed;
        answered += runner.isFenced() ? 1 : 0;
        if (runner.entry.isDraining || now < runner.evacuatedUntil)
            continue;
        ++usable;
        reached += runner.missedCalls <= m_options.maxMissedCalls ? 1 : 0;
    }
    Resources lasting;
    for (const auto &[team, use] : m_teamLasting)
        lasting += use;
    const double runners = 2 * reached >= usable ? reached : usable;
    Admission::Room room;
    room.runners
        = std::max(runners - dominantShare(lasting, runnerCapacity()), MinRunnerFraction * runners);
    room.haveAllAnswered = listed > 0 && answered == listed;
    return room;
}

// Adds the work of a job. Waiting work without value is left out, since it is done after all other
// work; that of its runs is added to `running` all the same.
void Engine::addBacklog(const Entry &entry, const Resources &capacity, double &running,
                        TimePoint now)
{
    const Job &job = entry.job;
    const TeamConfig *team = m_configuration.findTeam(job.team);
    Admission::Load load;
    Resources work;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &spec = job.spec.steps[s];
            const Step &step = occurrence.steps[s];
            if (spec.isLasting || step.isDone())
                continue;
            const std::size_t waiting = step.waitingCount();
            const double placed = RestOfRuns * double(step.tasks.size() - step.doneCount - waiting);
            const double runTime = m_order.runTime(job.queue, spec) / 1000;
            const double share = dominantShare(spec.room(), capacity) * runTime;
            running += placed * share;
            load.runnerSeconds += double(waiting) * share;
            work += spec.size * ((double(waiting) + placed) * runTime);
        }
    }
    const JobOrder::Rank rank = m_order.rank(job, now - entry.arrivedAt);
    if (load.runnerSeconds <= 0 || rank.hasNoValue || entry.isSetApart)
        return;
    load.priority = rank.priority;
    load.isBeyondShare = rank.isBeyondShare;
    load.isLate = rank.isLate;
    load.work = rank.work;
    if (team != nullptr)
        load.teamSeconds = dominantShare(work, team->resourceCeiling);
    m_admission.addBacklog(job.team, load);
}

void Engine::updateAdmission(TimePoint now)
{
    if (!m_options.admission.isOn || now < m_nextSnapshot)
        return;
    m_nextSnapshot = now + m_options.snapshotInterval;
    for (const Admission::Prediction &prediction : m_endedPredictions)
        m_admission.recordEnd(prediction, now);
    m_endedPredictions.clear();
    const Resources capacity = runnerCapacity();
    double running = 0;
    m_admission.beginSnapshot(admissionRoom(now), now);
    for (const auto &[id, live] : m_live)
        addBacklog(*live, capacity, running, now);
    m_admission.endSnapshot(running, now);
}

} // namespace sequoiapier::jobs
