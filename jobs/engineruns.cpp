// Runners' side of the engine: live list, reports, ends, answers to orders.
//
// Runs are told apart by task and run number. A run that no task wants any more stays in its
// runner's list, and so in the counts of what is in use, until its end is shown.
#include "jobs/engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapier::jobs {

namespace {

// Reports in a row that must leave out a run that was answered as started, before it counts as
// gone: a report on another connection may have overtaken the answer.
constexpr std::uint32_t MissingReports = 2;

// What the start relied on when it was sent, and how long its answer took.
std::string agesOf(const StartOrder &start, TimePoint now)
{
    if (start.sentAt == TimePoint{})
        return {};
    return ", placed " + inMilliseconds(start.sentAt - start.placedAt) + " and list "
        + inMilliseconds(start.sentAt - start.listedAt) + " before, answer after "
        + inMilliseconds(now - start.sentAt);
}

} // namespace

Engine::Spot Engine::find(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end())
        return {};
    Spot spot{.entry = &found->second};
    Job &job = found->second.job;
    const auto occurrence = job.occurrences.find(name.occurrence);
    if (occurrence == job.occurrences.end() || name.step >= job.spec.steps.size()
        || name.index >= occurrence->second.steps[name.step].tasks.size()) {
        return spot;
    }
    spot.step = &occurrence->second.steps[name.step];
    spot.task = &spot.step->tasks[name.index];
    spot.spec = &job.spec.steps[name.step];
    return spot;
}

// The task whose placed run is `run`; nullptr if that run is not the task's any more.
Task *Engine::currentTask(const Spot &spot, std::uint64_t run)
{
    const bool isCurrent
        = spot.task != nullptr && spot.task->phase == TaskPhase::Placed && spot.task->run == run;
    return isCurrent ? spot.task : nullptr;
}

// A filling task takes no processors of its runner's room, but counts in full for its team.
Run Engine::makeRun(const Job &job, const TaskName &task, std::uint64_t number) const
{
    const StepSpec &step = job.spec.steps[task.step];
    Run run{.task = task, .number = number, .room = step.room(), .charge = step.size};
    run.team = job.team;
    run.isFilling = step.isFilling;
    run.isLasting = step.isLasting;
    run.targetMilliseconds = step.targetMilliseconds;
    return run;
}

void Engine::addRun(Runner &runner, Run run)
{
    const RunKey key(run.task, run.number);
    if (runner.runs.contains(key))
        return;
    runner.used += run.room;
    m_teamUse[run.team] += run.charge;
    runner.runs.emplace(key, std::move(run));
}

void Engine::removeRun(Runner &runner, const RunKey &key)
{
    const auto found = runner.runs.find(key);
    if (found == runner.runs.end())
        return;
    runner.used -= found->second.room;
    m_teamUse[found->second.team] -= found->second.charge;
    runner.runs.erase(found);
}

void Engine::unwant(const std::string &id, const TaskName &task, std::uint64_t number)
{
    const auto runner = m_runners.find(id);
    if (runner == m_runners.end())
        return;
    const auto run = runner->second.runs.find({task, number});
    if (run == runner->second.runs.end())
        return;
    run->second.isUnwanted = true;
    m_hasUnwanted = true;
}

// The task waits again, unless another run is its current one.
void Engine::freeTask(const TaskName &name, std::uint64_t run)
{
    Task *task = currentTask(name, run);
    if (task == nullptr)
        return;
    task->phase = TaskPhase::Waiting;
    task->runner.clear();
    task->missing = 0;
    markDirty(m_jobs.find(name.job)->second);
}

// The run is shown to exist no more.
void Engine::resolveRun(Runner &runner, const RunKey &key, std::string_view why)
{
    note("run.gone", key.first, why);
    removeRun(runner, key);
    freeTask(key.first, key.second);
}

void Engine::freeRuns(Runner &runner, std::string_view why)
{
    while (!runner.runs.empty()) {
        const RunKey key = runner.runs.begin()->first;
        resolveRun(runner, key, why);
    }
}

void Engine::setRunners(std::span<const RunnerEntry> entries)
{
    std::set<std::string> listed;
    for (const RunnerEntry &entry : entries) {
        listed.insert(entry.id);
        Runner &runner = m_runners[entry.id];
        if (!runner.isListed)
            note("runner.listed", {.job = entry.id}, toString(entry.endpoint));
        runner.isListed = true;
        takeEntry(runner, entry);
    }
    for (auto next = m_runners.begin(); next != m_runners.end();) {
        Runner &runner = next->second;
        if (runner.isListed && !listed.contains(next->first))
            note("runner.unlisted", {.job = next->first});
        runner.isListed = listed.contains(next->first);
        const bool isForgotten = !runner.isListed && runner.runs.empty();
        if (isForgotten)
            m_quarantine.forget(next->first);
        next = isForgotten ? m_runners.erase(next) : std::next(next);
    }
}

// Entries may go back: the store can carry out an earlier write of the runner after a later one. A
// notice stands for the rest of the runner's life.
void Engine::takeEntry(Runner &runner, const RunnerEntry &entry)
{
    if (entry.bornAt < runner.entry.bornAt)
        return;
    const bool hasGivenNotice = runner.entry.isDraining && runner.entry.bornAt == entry.bornAt;
    const bool isDraining = entry.isDraining || hasGivenNotice;
    if (runner.entry.isDraining != isDraining)
        note(isDraining ? "runner.draining" : "runner.ready", {.job = entry.id});
    runner.entry = entry;
    runner.entry.isDraining = isDraining;
}

void Engine::onLifeOver(const std::string &id)
{
    const auto found = m_runners.find(id);
    if (found != m_runners.end())
        freeRuns(found->second, "the runner's life is over");
    m_advice.forgetRunner(id);
}

// The new life knows nothing of the runs of the life before, nor their numbers. Runs that its
// report lists are its own. A start that has not been answered may still reach it, and one that was
// answered after the report was asked for is in a later one.
void Engine::onRebirth(Runner &runner, const RunnerReport &report, TimePoint sentAt)
{
    note("runner.reborn", {.job = runner.entry.id});
    m_quarantine.forget(runner.entry.id);
    m_advice.forgetRunner(runner.entry.id);
    std::set<RunKey> reported;
    for (const RunReport &entry : report.running)
        reported.insert({entry.task, entry.run});
    std::vector<RunKey> gone;
    for (auto &[key, run] : runner.runs) {
        Task *task = currentTask(key.first, key.second);
        const bool isAnswered = task == nullptr || task->runPhase == RunPhase::Running
            || task->runPhase == RunPhase::Inherited;
        const bool isLater = task != nullptr && task->startedAt >= sentAt;
        if (reported.contains(key) || (isAnswered && isLater))
            continue;
        if (isAnswered) {
            gone.push_back(key);
        } else if (task->runPhase == RunPhase::Doubtful) {
            run.stopAnsweredAt = {}; // by the life before
            run.isUnwanted = true;
            m_hasUnwanted = true;
        }
    }
    for (const RunKey &key : gone)
        resolveRun(runner, key, "the runner was started again");
    runner.notedEnds = 0;
    runner.durableEnds = 0;
}

void Engine::onSilence(const std::string &id)
{
    const auto found = m_runners.find(id);
    if (found != m_runners.end())
        ++found->second.missedCalls;
}

void Engine::onLeaseSent(const std::string &id, TimePoint now)
{
    Runner &runner = m_runners[id];
    const auto longest
        = std::chrono::duration_cast<Duration>(m_options.lease * (1 + m_options.clockRateMargin));
    runner.leaseEnd = std::max(runner.leaseEnd, now + longest + m_options.leaseSlack);
}

void Engine::onReport(const std::string &id, const RunnerReport &report, TimePoint sentAt,
                      TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    Runner &runner = found->second;
    if (report.bornAt < runner.bornAt)
        return; // of the life before
    if (report.bornAt > runner.bornAt && runner.bornAt != 0)
        onRebirth(runner, report, sentAt);
    runner.bornAt = report.bornAt;
    runner.answeredAt = std::max(runner.answeredAt, now);
    runner.missedCalls = 0;
    runner.isFenced = true;
    for (const RunEnd &end : report.ends) {
        if (end.number > runner.notedEnds) {
            runner.notedEnds = end.number;
            takeEnd(runner, end, now);
        }
    }
    takeRunning(runner, report, now);
    takeMissing(runner, report, sentAt);
    controlPace(runner, now);
}

void Engine::takeRunning(Runner &runner, const RunnerReport &report, TimePoint now)
{
    for (const RunReport &entry : report.running) {
        const RunKey key(entry.task, entry.run);
        const Spot spot = find(entry.task);
        Task *task = currentTask(spot, entry.run);
        if (task == nullptr || task->runner != runner.entry.id) {
            if (!runner.runs.contains(key)) {
                note("run.stray", entry.task, runner.entry.id);
                addRun(runner, {.task = entry.task, .number = entry.run});
            }
            unwant(runner.entry.id, entry.task, entry.run);
            continue;
        }
        task->missing = 0;
        task->figure = entry.figure;
        if (!entry.checkpoint.empty())
            task->checkpoint = entry.checkpoint;
        Run &run = runner.runs.at(key);
        if (!run.isStopSent && run.stopAnsweredAt == TimePoint{})
            run.isUnwanted = false;
        if (task->runPhase != RunPhase::Running) {
            task->runPhase = RunPhase::Running;
            task->startedAt = now;
        }
        takeProgress(runner, run, spot, entry.percent, now);
        beginJob(*spot.entry);
    }
}

void Engine::beginJob(Entry &entry)
{
    if (entry.job.phase != JobPhase::Queued)
        return;
    entry.job.phase = JobPhase::Running;
    markDirty(entry);
}

// Runs that the report leaves out although they may exist.
void Engine::takeMissing(Runner &runner, const RunnerReport &report, TimePoint sentAt)
{
    std::set<RunKey> reported;
    for (const RunReport &entry : report.running)
        reported.insert({entry.task, entry.run});
    std::vector<RunKey> gone;
    for (auto &[key, run] : runner.runs) {
        if (reported.contains(key))
            continue;
        Task *task = currentTask(key.first, key.second);
        if (isResolvedBy(run, task, sentAt)) {
            gone.push_back(key);
            continue;
        }
        const bool isLost = task != nullptr && task->runPhase == RunPhase::Running
            && task->startedAt < sentAt && ++task->missing >= MissingReports;
        const bool isDoubtful = task != nullptr && task->runPhase == RunPhase::Doubtful;
        if (task == nullptr || isLost || isDoubtful) {
            run.isUnwanted = true;
            m_hasUnwanted = true;
        }
    }
    for (const RunKey &key : gone)
        resolveRun(runner, key, "left out by " + runner.entry.id);
}

// Whether a report that leaves the run out shows that it does not exist and never will: its stop
// was answered long enough before, or it was ordered by an earlier owner, whose fence the runner
// refuses now.
bool Engine::isResolvedBy(const Run &run, const Task *task, TimePoint sentAt) const
{
    const bool isStopped
        = run.stopAnsweredAt != TimePoint{} && sentAt > run.stopAnsweredAt + m_options.stopTime;
    return isStopped || (task != nullptr && task->runPhase == RunPhase::Inherited);
}

void Engine::takeEnd(Runner &runner, const RunEnd &end, TimePoint now)
{
    note("run.ended", end.task,
         std::string(toString(end.kind)) + " run " + std::to_string(end.run) + " on "
             + runner.entry.id);
    removeRun(runner, {end.task, end.run});
    const Spot spot = find(end.task);
    if (spot.task == nullptr || spot.task->phase == TaskPhase::Done)
        return;
    takeCheckpoint(spot, end);
    if (end.kind == EndKind::Done && !spot.spec->isLasting) {
        learn(runner, spot, end.run, now);
        finishTask(end.task, spot);
    } else if (end.kind == EndKind::Failed) {
        spot.task->avoidedRunner = runner.entry.id;
        failTask(end.task, spot, end.run);
    } else {
        freeTask(end.task, end.run);
    }
}

// A gang resumes from one checkpoint, which is that of any of its members.
void Engine::takeCheckpoint(const Spot &spot, const RunEnd &end)
{
    if (end.checkpoint.empty() || end.run < spot.task->run)
        return;
    if (!spot.spec->isGang) {
        spot.task->checkpoint = end.checkpoint;
        return;
    }
    for (Task &member : spot.step->tasks)
        member.checkpoint = end.checkpoint;
}

// One member's end as done stands for the whole gang; the others list theirs as well.
void Engine::finishTask(const TaskName &name, const Spot &spot)
{
    Entry &entry = *spot.entry;
    const std::uint32_t first = spot.spec->isGang ? 0 : name.index;
    const std::uint32_t last = spot.spec->isGang ? spot.spec->count - 1 : name.index;
    for (std::uint32_t index = first; index <= last; ++index) {
        Task &task = spot.step->tasks[index];
        if (task.phase == TaskPhase::Done)
            continue;
        // An earlier run ended done after all: the current one is not wanted any more.
        if (task.phase == TaskPhase::Placed && !spot.spec->isGang)
            unwant(task.runner, name, task.run);
        task = Task{.phase = TaskPhase::Done, .run = task.run};
        ++spot.step->doneCount;
    }
    if (entry.job.phase == JobPhase::Queued)
        entry.job.phase = JobPhase::Running;
    markDirty(entry);
    if (spot.step->isDone())
        finishStep(entry, name.occurrence);
}

void Engine::finishStep(Entry &entry, std::uint32_t number)
{
    Job &job = entry.job;
    Occurrence &occurrence = job.occurrences.at(number);
    if (++occurrence.doneSteps < occurrence.steps.size())
        return;
    job.occurrences.erase(number);
    if (++job.doneOccurrences == job.spec.occurrenceCount()) {
        note("job.completed", {.job = job.id});
        endJob(entry, JobPhase::Completed);
    }
}

void Engine::failTask(const TaskName &name, const Spot &spot, std::uint64_t run)
{
    Task &task = *spot.task;
    const bool isCounted
        = std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end();
    if (!isCounted && !spot.spec->isLasting) {
        task.failedRuns.push_back(run);
        markDirty(*spot.entry);
    }
    if (!spot.spec->isLasting && task.failedRuns.size() >= maxAttempts(spot.entry->job)) {
        note("job.failed", name, std::to_string(task.failedRuns.size()) + " runs failed");
        endJob(*spot.entry, JobPhase::Failed);
        return;
    }
    freeTask(name, run);
}

void Engine::onStartAnswer(const StartOrder &start, StartOutcome outcome, TimePoint now)
{
    const auto found = m_runners.find(start.runner);
    if (found == m_runners.end())
        return;
    Runner &runner = found->second;
    if (runner.startsUnderWay > 0)
        --runner.startsUnderWay;
    note(outcome == StartOutcome::Started ? "run.started" : "run.not-started", start.task,
         std::string(toString(outcome)) + " run " + std::to_string(start.run) + " on "
             + start.runner + agesOf(start, now));
    if (outcome != StartOutcome::NotSent && outcome != StartOutcome::Unanswered)
        runner.answeredAt = std::max(runner.answeredAt, now);
    Task *task = currentTask(start.task, start.run);
    const bool isOrdered = task != nullptr && task->runPhase == RunPhase::Ordered;
    switch (outcome) {
    case StartOutcome::Started:
        if (isOrdered) {
            task->runPhase = RunPhase::Running;
            task->startedAt = now;
            beginJob(m_jobs.find(start.task.job)->second);
        }
        return;
    case StartOutcome::Unanswered:
    case StartOutcome::OldRun: // it exists or has existed there: the runner's lists tell
        if (isOrdered)
            task->runPhase = RunPhase::Doubtful;
        return;
    case StartOutcome::OtherLife:
        onLifeOver(start.runner);
        return;
    case StartOutcome::Unhealthy:
    case StartOutcome::NotSent:
    case StartOutcome::NoRoom:
        runner.avoidUntil = now + m_options.unhealthyPause;
        break;
    case StartOutcome::TicketRefused:
        m_advice.forgetTicket(stepName(start.task), start.runner);
        break;
    default:
        break;
    }
    resolveRun(runner, {start.task, start.run}, toString(outcome));
}

void Engine::onStopAnswer(const StopOrder &stop, bool isAnswered, TimePoint now)
{
    const auto found = m_runners.find(stop.runner);
    if (found == m_runners.end())
        return;
    const auto run = found->second.runs.find({stop.task, stop.run});
    if (run == found->second.runs.end())
        return;
    run->second.isStopSent = false;
    run->second.stopAgainAt = now + m_options.stopRetry;
    if (isAnswered && run->second.stopAnsweredAt == TimePoint{})
        run->second.stopAnsweredAt = now;
}

// Runs of a job that ends are stopped once that is in the store.
std::vector<StopOrder> Engine::takeStops(TimePoint now)
{
    std::vector<StopOrder> stops;
    if (!std::exchange(m_hasUnwanted, false))
        return stops;
    for (auto &[id, runner] : m_runners) {
        for (auto &[key, run] : runner.runs) {
            if (!run.isUnwanted)
                continue;
            m_hasUnwanted = true;
            const auto entry = m_jobs.find(run.task.job);
            const bool isEnding = entry != m_jobs.end() && entry->second.job.hasEnded()
                && entry->second.durable != entry->second.job.phase;
            if (isEnding || run.isStopSent || now < run.stopAgainAt)
                continue;
            run.isStopSent = true;
            stops.push_back({id, run.task, run.number});
        }
    }
    return stops;
}

} // namespace sequoiapier::jobs
