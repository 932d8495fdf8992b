// Placement. Waiting steps are taken in the order of JobOrder, and each task goes to the runner of
// its pool with enough room that suits the step best. A runner on the rack of the step's data is
// preferred, then the fullest runner, so that whole runners stay free for large tasks and can be
// given away. Lasting tasks come first, since they must be at work however full the pool is; see
// enginereservation.cpp for those that find no room.
#include "jobs/engine.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace sequoiapier::jobs {

namespace {

constexpr Duration RemovalInterval = std::chrono::seconds(1); // Ended jobs are kept for minutes.
// Open occurrences of a job, whose row in the store grows with them.
constexpr std::size_t MaxOpenOccurrences = 64;

// Returns whether the use is within the ceiling, in which 0 means no bound.
bool isWithin(const Resources &use, const Resources &ceiling)
{
    constexpr double Tolerance = 1e-6; // rounding error in sums of fractions of a core
    const auto isOver
        = [](double amount, double bound) { return bound > 0 && amount > bound + Tolerance; };
    return !isOver(use.processors, ceiling.processors) && !isOver(use.memory, ceiling.memory)
        && !isOver(use.accelerators, ceiling.accelerators);
}

// Returns whether the placement would put a filling task and a serving task on one runner.
bool mixesFillingAndServing(const StepSpec &step, const Runner &runner)
{
    if (!step.isFilling && step.targetMilliseconds == 0)
        return false;
    return std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
        return step.isFilling ? item.second.targetMilliseconds > 0
                              : step.targetMilliseconds > 0 && item.second.isFilling;
    });
}

bool hasLastingRun(const Runner &runner)
{
    return std::any_of(runner.runs.begin(), runner.runs.end(),
                       [](const auto &item) { return item.second.isLasting; });
}

bool isReady(const Occurrence &occurrence, const StepSpec &step)
{
    return std::all_of(step.after.begin(), step.after.end(),
                       [&](std::uint32_t before) { return occurrence.steps[before].isDone(); });
}

} // namespace

void Engine::plan(TimePoint now)
{
    releaseExpiredRuns(now);
    retrySetApart(now);
    if (now >= m_nextRemoval) {
        m_nextRemoval = now + RemovalInterval;
        removeEndedJobs();
    }
    for (const auto &[id, live] : m_live)
        beginOccurrences(*live, now);
    moveLastingTasks(now);
    updateQuarantine(now);
    updateInterference(now);
    clearReservations();
    m_advice.clearRequest();
    m_unplaced.clear();
    std::vector<Candidate> waiting = candidates(now);
    std::stable_sort(waiting.begin(), waiting.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.rank, a.entry->firstRefusedAt)
            < std::tie(b.rank, b.entry->firstRefusedAt);
    });
    for (const Candidate &candidate : waiting) {
        const bool isGang = candidate.entry->job.spec.steps[candidate.step].isGang;
        isGang ? placeGang(candidate, now) : place(candidate, now);
    }
    requestAdviceAhead(now);
    countTeams(waiting, now);
    updateAdmission(now);
}

void Engine::countTeams(std::span<const Candidate> candidates, TimePoint now)
{
    m_teamDemands.clear();
    for (const auto &[team, use] : m_teamUse)
        m_teamDemands[team].inUse = use;
    for (const auto &[team, use] : m_teamLasting)
        m_teamDemands[team].lasting = use;
    for (const Candidate &candidate : candidates)
        countLimited(candidate, m_teamDemands[candidate.entry->job.team], now);
    const Resources room = openRoom(now);
    for (auto &[team, demand] : m_teamDemands) {
        demand.limited = {.processors = std::min(demand.limited.processors, room.processors),
                          .memory = std::min(demand.limited.memory, room.memory),
                          .accelerators = std::min(demand.limited.accelerators, room.accelerators)};
    }
}

// Adds the candidate's waiting tasks to its team's demand. Tasks that exceed the whole ceiling can
// never start and need no part of it. A runner is searched only for sizes below the smallest found
// so far.
void Engine::countLimited(const Candidate &candidate, TeamDemand &demand, TimePoint now)
{
    const Job &job = candidate.entry->job;
    const StepSpec &spec = job.spec.steps[candidate.step];
    const Step &step = job.occurrences.at(candidate.occurrence).steps[candidate.step];
    const std::size_t waiting = step.waitingCount();
    const Resources unit = spec.isGang ? spec.size * double(spec.count) : spec.size;
    if (waiting == 0 || exceedsCeiling(job.team, unit))
        return;
    demand.waiting += spec.size * double(waiting);
    if (isWithinCeiling(job.team, unit) || (spec.isGang && waiting < step.tasks.size()))
        return;
    const Resources &least = demand.leastLimited;
    const bool isSmaller = least == Resources{} || (unit.fitsInto(least) && unit != least);
    if (isSmaller) {
        const bool hasRoom = pickRunner(candidate, step.tasks.front(), now) != nullptr
            && (!spec.isGang || fits(spec.room() * double(spec.count), openRoom(now)));
        if (hasRoom)
            demand.leastLimited = unit;
    }
    if (demand.leastLimited != Resources{})
        demand.limited += spec.size * double(waiting);
}

// Returns the room of all runners that may take tasks.
Resources Engine::openRoom(TimePoint now) const
{
    Resources room;
    for (const auto &[id, runner] : m_runners) {
        if (runner.isOpen(now))
            room += runner.room();
    }
    return room;
}

// Begins the occurrences of a job at set times when they are due, never before, and keeps at most
// MaxOpenOccurrences of them open at once.
void Engine::beginOccurrences(Entry &entry, TimePoint now)
{
    Job &job = entry.job;
    while (!job.hasEnded() && job.nextOccurrence < job.spec.occurrenceCount()
           && job.occurrences.size() < MaxOpenOccurrences) {
        const std::int64_t due
            = job.spec.firstDue + std::int64_t(job.nextOccurrence) * job.spec.intervalMilliseconds;
        if (job.spec.isTimed() && due > m_hooks.wallMilliseconds())
            return;
        if (!job.occurrences.empty() && !hasRowRoom(entry, occurrenceBytes(job.spec, job.terms)))
            return;
        job.occurrences[job.nextOccurrence++] = makeOccurrence(job.spec);
        entry.rowBytes = 0;
        m_arrivals.add(runnerSeconds(job), now);
        markDirty(entry);
    }
}

// A run may hold a longer lease than was meant if its start reached another incarnation of the
// runner, which the live list then shows. A runner that is not listed any more is gone, so that
// only the leases that were meant are waited for.
//
// A runner that has not answered this owner may have answered an earlier one after the takeover.
void Engine::releaseExpiredRuns(TimePoint now)
{
    const TimePoint earlierOwnersUntil = std::max(m_earlierOwnersUntil, m_loadedAt);
    for (auto &[id, runner] : m_runners) {
        // The lease ends are those of leases that were renewed when the jobs were loaded.
        const TimePoint renewedUntil = std::min(earlierOwnersUntil, runner.renewedUntil);
        const TimePoint unextended = runner.isFenced() ? now : now - (renewedUntil - m_loadedAt);
        if (unextended <= runner.leaseEnd)
            continue;
        std::vector<RunKey> expired;
        for (const auto &[key, run] : runner.runs) {
            if (unextended > run.leaseEnd)
                expired.push_back(key);
        }
        for (const RunKey &key : expired)
            releaseRun(runner, key,
                       "the lease of " + id + " has expired, " + describeContact(runner, now));
    }
}

std::vector<Engine::Candidate> Engine::candidates(TimePoint now)
{
    std::vector<Candidate> waiting;
    for (const auto &[id, live] : m_live) {
        Entry &entry = *live;
        if (entry.isSetApart)
            continue;
        const Job &job = entry.job;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                const Step &step = occurrence.steps[s];
                if (step.isDone() || !isReady(occurrence, job.spec.steps[s])
                    || step.waitingCount() == 0) {
                    continue;
                }
                JobOrder::Rank rank; // The default rank is for lasting tasks.
                if (!job.spec.steps[s].isLasting)
                    rank = m_order.rank(job, now - entry.arrivedAt);
                waiting.push_back({&entry, number, s, rank});
            }
        }
    }
    return waiting;
}

// Returns whether the runner may take the candidate's tasks as soon as it has room.
bool Engine::isFitFor(const Runner &runner, const Candidate &candidate, TimePoint now) const
{
    const StepSpec &step = candidate.entry->job.spec.steps[candidate.step];
    const bool isReachable = runner.isFenced() && now >= runner.avoidUntil
        && runner.answeredAt + m_options.maxAnswerAge >= now
        && runner.appliedEnds - runner.durableEnds <= m_options.maxUnsavedEnds;
    if (!runner.isOpen(now) || !isListedLately(runner, now) || !isReachable)
        return false;
    const std::vector<std::string> &labels = runner.entry.labels;
    if (!step.requiredLabel.empty()
        && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()) {
        return false;
    }
    if (step.maxPerRunner == 0)
        return true;
    const std::uint32_t placedCount = std::uint32_t(
        std::count_if(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
            const TaskName &task = item.first.first;
            return task.job == candidate.entry->job.id && task.step == candidate.step
                && task.occurrence == candidate.occurrence;
        }));
    return placedCount < step.maxPerRunner;
}

bool Engine::isWithinCeiling(const std::string &team, const Resources &size) const
{
    const std::optional<Resources> ceiling = m_hooks.ceiling ? m_hooks.ceiling(team) : std::nullopt;
    if (!ceiling)
        return true;
    const auto found = m_teamUse.find(team);
    Resources use = found != m_teamUse.end() ? found->second : Resources{};
    use += size;
    return isWithin(use, *ceiling);
}

// Returns whether the size is more than the team may ever use in all pools together.
bool Engine::exceedsCeiling(const std::string &team, const Resources &size) const
{
    const TeamConfig *config = m_configuration.findTeam(team);
    return config != nullptr && !isWithin(size, config->resourceCeiling);
}

// Room only shrinks within a plan, so that a task at least as large as one that found no room finds
// none either. When a queue asks for five times what its pool holds, this spares most candidates
// the search.
bool Engine::isKnownNotToFit(const Candidate &candidate) const
{
    const StepSpec &step = candidate.entry->job.spec.steps[candidate.step];
    return std::any_of(m_unplaced.begin(), m_unplaced.end(), [&](const UnplacedSize &unplaced) {
        return (unplaced.isLasting || !step.isLasting) && fits(unplaced.room, step.room())
            && (unplaced.runMilliseconds == 0
                || runMilliseconds(candidate) >= unplaced.runMilliseconds);
    });
}

// Returns the longer of the declared and the usual run time of the candidate's tasks.
double Engine::runMilliseconds(const Candidate &candidate) const
{
    const Job &job = candidate.entry->job;
    const StepSpec &step = job.spec.steps[candidate.step];
    return std::max(m_order.runTime(job.queue, step), double(step.estimateMilliseconds));
}

// Records the size if nothing else than its size kept the task from being placed, or that it runs
// too long for a reserved runner.
void Engine::recordNoRoom(const Candidate &candidate, bool isKeptOut)
{
    constexpr std::size_t MaxSizes = 8; // Bounds the search in isKnownNotToFit().
    const StepSpec &step = candidate.entry->job.spec.steps[candidate.step];
    const bool isAdvised = candidate.entry->job.terms.advice.isNeeded;
    if (isAdvised || !step.requiredLabel.empty() || step.maxPerRunner > 0)
        return;
    const UnplacedSize size{.room = step.room(),
                            .isLasting = step.isLasting,
                            .runMilliseconds = isKeptOut ? runMilliseconds(candidate) : 0};
    std::erase_if(m_unplaced, [&](const UnplacedSize &unplaced) {
        return (size.isLasting || !unplaced.isLasting) && fits(size.room, unplaced.room)
            && size.runMilliseconds <= unplaced.runMilliseconds;
    });
    if (m_unplaced.size() < MaxSizes)
        m_unplaced.push_back(size);
}

Runner *Engine::pickRunner(const Candidate &candidate, const Task &task, TimePoint now)
{
    m_isInterferenceAvoided = false;
    if (isKnownNotToFit(candidate))
        return nullptr;
    const StepSpec &step = candidate.entry->job.spec.steps[candidate.step];
    Runner *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    const bool mayInterfere = m_interference.hasEffect(step.image);
    const Runner *bestOtherwise = nullptr; // If no image interfered.
    double bestOtherwiseScore = bestScore;
    bool isKeptOut = false; // A reserved runner has room.
    for (auto &[id, runner] : m_runners) {
        if (!fits(step.room(), runner.room()) || !isFitFor(runner, candidate, now)
            || !hasAdvice(runner, candidate, now)) {
            continue;
        }
        if (isReservedFor(runner, candidate, now)) {
            isKeptOut = true;
            continue;
        }
        double score = dominantShare(runner.used, runner.entry.capacity);
        if (!step.dataRack.empty() && runner.entry.rack() == step.dataRack)
            score += 2; // Outweighs any difference in fullness.
        if (runner.entry.isCold)
            score -= 2;
        if (mixesFillingAndServing(step, runner))
            score -= 1; // Equals the largest difference in fullness.
        else if (step.isLasting && hasLastingRun(runner))
            score += 1; // Leaves fewer hosts that can't leave the pool.
        if (id == task.avoidedRunner)
            score -= 4; // Outweighs all other terms.
        if (mayInterfere) {
            if (score > bestOtherwiseScore) {
                bestOtherwise = &runner;
                bestOtherwiseScore = score;
            }
            score -= interferencePenalty(step, runner, now);
        }
        if (score > bestScore) {
            best = &runner;
            bestScore = score;
        }
    }
    if (best == nullptr)
        recordNoRoom(candidate, isKeptOut);
    m_isInterferenceAvoided = mayInterfere && best != bestOtherwise;
    return best;
}

void Engine::place(const Candidate &candidate, TimePoint now)
{
    Job &job = candidate.entry->job;
    const StepSpec &spec = job.spec.steps[candidate.step];
    std::vector<Task> &tasks = job.occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskPhase::Waiting)
            continue;
        if (!isWithinCeiling(job.team, spec.size))
            return;
        Runner *runner = pickRunner(candidate, tasks[index], now);
        if (runner == nullptr) {
            if (spec.isLasting)
                reserveRunner(candidate, now);
            requestAdvice(candidate, now);
            return;
        }
        if (!hasRowRoom(*candidate.entry, growthIfPlaced(candidate, tasks[index], *runner)))
            return;
        orderStart(candidate, index, *runner, tasks[index].run + 1, now);
    }
}

// Members that were lost without an end have the checkpoints of their last reports. Any of them is
// valid for the gang, and all must start from the same one.
void Engine::shareCheckpoint(const TaskLocation &gang)
{
    std::vector<Task> &members = gang.step->tasks;
    std::string shortest;
    for (const Task &member : members) {
        const std::size_t size = member.checkpoint.size();
        if (size > 0 && (shortest.empty() || size < shortest.size()))
            shortest = member.checkpoint;
    }
    if (shortest.empty())
        return;
    setCheckpoint(gang, members, shortest);
    const bool isShared = std::all_of(members.begin(), members.end(), [&](const Task &member) {
        return member.checkpoint == shortest;
    });
    if (isShared)
        return;
    for (Task &member : members) // The row has no room for it.
        member.checkpoint.clear();
}

// Starts all members together under one run number, or none of them.
void Engine::placeGang(const Candidate &candidate, TimePoint now)
{
    Job &job = candidate.entry->job;
    const StepSpec &spec = job.spec.steps[candidate.step];
    std::vector<Task> &tasks = job.occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
    std::uint64_t run = 0;
    for (const Task &task : tasks) {
        if (task.phase != TaskPhase::Waiting)
            return;
        run = std::max(run, task.run);
    }
    std::vector<Runner *> picked;
    const std::vector<UnplacedSize> unplacedBefore = m_unplaced;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        Runner *runner = isWithinCeiling(job.team, spec.size)
            ? pickRunner(candidate, tasks[index], now)
            : nullptr;
        if (runner == nullptr)
            break;
        // Holds the room while the other members are placed.
        addRun(*runner,
               makeRun(job, {job.id, candidate.occurrence, candidate.step, index}, run + 1));
        picked.push_back(runner);
    }
    for (std::uint32_t index = 0; index < picked.size(); ++index)
        removeRun(*picked[index], {{job.id, candidate.occurrence, candidate.step, index}, run + 1});
    if (picked.size() < tasks.size()) {
        m_unplaced = unplacedBefore; // The members that were picked have given their room back.
        requestAdvice(candidate, now);
        return;
    }
    std::size_t bytes = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
        bytes += growthIfPlaced(candidate, tasks[index], *picked[index]);
    if (!hasRowRoom(*candidate.entry, bytes))
        return;
    shareCheckpoint(find({job.id, candidate.occurrence, candidate.step, 0}));
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
        orderStart(candidate, index, *picked[index], run + 1, now);
}

// Returns by how much the room of the job's row grows if the task is placed on the runner.
std::size_t Engine::growthIfPlaced(const Candidate &candidate, const Task &task,
                                   const Runner &runner) const
{
    const Job &job = candidate.entry->job;
    const StepSpec &step = job.spec.steps[candidate.step];
    return placedTaskBytes(step, job.terms, task, runner.entry.id)
        - taskBytes(step, job.terms, task);
}

// The start is sent once the job's row with the placement is in the store.
void Engine::orderStart(const Candidate &candidate, std::uint32_t index, Runner &runner,
                        std::uint64_t run, TimePoint now)
{
    onLeaseSent(runner.entry.id, now); // Keeps the lease from expiring before the start is sent.
    Job &job = candidate.entry->job;
    Task &task = job.occurrences.at(candidate.occurrence).steps[candidate.step].tasks[index];
    const TaskName name{job.id, candidate.occurrence, candidate.step, index};
    if (job.terms.advice.isNeeded)
        m_advice.onTicketUsed(stepName(name));
    candidate.entry->rowBytes += growthIfPlaced(candidate, task, runner);
    task.phase = TaskPhase::Placed;
    task.runPhase = RunPhase::Ordered;
    task.run = run;
    task.runner = runner.entry.id;
    task.startedAt = {};
    task.percent = 0;
    task.progressedAt = {};
    task.measurement = 0;
    task.missingReports = 0;
    task.isLeaseKnown = false;
    m_avoidedInterference += std::exchange(m_isInterferenceAvoided, false) ? 1 : 0;
    addRun(runner, makeRun(job, name, run));
    m_planned.push_back({.runner = runner.entry.id,
                         .task = name,
                         .run = run,
                         .payload = job.spec.payload,
                         .checkpoint = task.checkpoint,
                         .placedAt = now});
    markDirty(*candidate.entry);
}

} // namespace sequoiapier::jobs
