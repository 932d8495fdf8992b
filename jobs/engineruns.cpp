// The interface to runners: live list, reports, ends and answers to orders.
//
// A run is identified by its task and run number. A run that is not needed any more stays in its
// runner's list, and so counts as resources in use, until its end is known.
#include "jobs/engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapier::jobs {

namespace {

// Number of consecutive reports without a confirmed run after which the run counts as lost: a
// report on another connection may have overtaken the answer to the start.
constexpr std::uint32_t MissingReports = 2;

// Describes the age of the data that the start relied on when it was sent, and the time until its
// answer.
std::string describeAges(const StartOrder &start, TimePoint now)
{
    if (start.sentAt == TimePoint{})
        return {};
    return ", sent " + formatMilliseconds(start.sentAt - start.placedAt)
        + " after its placement and " + formatMilliseconds(start.sentAt - start.listedAt)
        + " after the live list, answered after " + formatMilliseconds(now - start.sentAt);
}

} // namespace

Engine::TaskLocation Engine::find(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end())
        return {};
    TaskLocation location{.entry = &found->second};
    Job &job = found->second.job;
    const auto occurrence = job.occurrences.find(name.occurrence);
    if (occurrence == job.occurrences.end() || name.step >= job.spec.steps.size()
        || name.index >= occurrence->second.steps[name.step].tasks.size()) {
        return location;
    }
    location.step = &occurrence->second.steps[name.step];
    location.task = &location.step->tasks[name.index];
    location.spec = &job.spec.steps[name.step];
    return location;
}

// Returns the task whose placed run is `run`; nullptr if the task has another run or none.
Task *Engine::currentTask(const TaskLocation &location, std::uint64_t run)
{
    const bool isCurrent = location.task != nullptr && location.task->phase == TaskPhase::Placed
        && location.task->run == run;
    return isCurrent ? location.task : nullptr;
}

// A filling task takes no processors on its runner, but counts in full against its team's ceiling.
Run Engine::makeRun(const Job &job, const TaskName &task, std::uint64_t number) const
{
    const StepSpec &step = job.spec.steps[task.step];
    Run run{.task = task, .number = number, .room = step.room(), .charge = step.size};
    run.team = job.team;
    run.image = step.image;
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
    if (run.isLasting)
        m_teamLasting[run.team] += run.charge;
    m_fillingRuns += run.isFilling ? 1 : 0;
    m_hasImages = m_hasImages || !run.image.empty();
    runner.runs.emplace(key, std::move(run));
}

void Engine::removeRun(Runner &runner, const RunKey &key)
{
    const auto found = runner.runs.find(key);
    if (found == runner.runs.end())
        return;
    runner.used -= found->second.room;
    m_teamUse[found->second.team] -= found->second.charge;
    if (found->second.isLasting)
        m_teamLasting[found->second.team] -= found->second.charge;
    m_fillingRuns -= found->second.isFilling ? 1 : 0;
    runner.runs.erase(found);
}

void Engine::requestStop(const std::string &id, const TaskName &task, std::uint64_t number)
{
    const auto runner = m_runners.find(id);
    if (runner == m_runners.end())
        return;
    const auto run = runner->second.runs.find({task, number});
    if (run == runner->second.runs.end())
        return;
    run->second.isStopRequested = true;
    run->second.isMissing = false;
    m_hasStopRequests = true;
}

void Engine::requestStopOfMissing(Run &run)
{
    run.isMissing = run.isMissing || !run.isStopRequested;
    run.isStopRequested = true;
    m_hasStopRequests = true;
}

// Makes the task wait again, unless another run is its current one.
void Engine::requeueTask(const TaskName &name, std::uint64_t run)
{
    Task *task = currentTask(name, run);
    if (task == nullptr)
        return;
    task->phase = TaskPhase::Waiting;
    task->runner.clear();
    task->missingReports = 0;
    markDirty(m_jobs.find(name.job)->second);
}

// Removes a run that is known not to exist any more.
void Engine::releaseRun(Runner &runner, const RunKey &key, std::string_view why)
{
    note("run.gone", key.first, why);
    removeRun(runner, key);
    requeueTask(key.first, key.second);
}

void Engine::releaseRuns(Runner &runner, std::string_view why)
{
    while (!runner.runs.empty()) {
        const RunKey key = runner.runs.begin()->first;
        releaseRun(runner, key, why);
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
        applyEntry(runner, entry);
    }
    for (auto next = m_runners.begin(); next != m_runners.end();) {
        Runner &runner = next->second;
        if (runner.isListed && !listed.contains(next->first))
            note("runner.unlisted", {.job = next->first});
        runner.isListed = listed.contains(next->first);
        const bool isForgotten = !runner.isListed && runner.runs.empty();
        if (isForgotten) {
            m_quarantine.forget(next->first);
            m_interference.forgetRunner(next->first);
        }
        next = isForgotten ? m_runners.erase(next) : std::next(next);
    }
}

// The store may carry out an earlier write of the runner after a later one, so that older entries
// may follow newer ones. A notice that the runner drains is valid for the rest of its incarnation.
void Engine::applyEntry(Runner &runner, const RunnerEntry &entry)
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

// The answer may be late, or come from an address that the runner has left: what the runner has
// answered since then tells that it goes on.
void Engine::onIncarnationOver(const std::string &id, TimePoint sentAt)
{
    const auto found = m_runners.find(id);
    if (found != m_runners.end() && found->second.answeredAt > sentAt) {
        ++found->second.missedCalls;
        return;
    }
    if (found != m_runners.end())
        releaseRuns(found->second, "the runner's incarnation ended");
    m_advice.forgetRunner(id);
}

// A new incarnation knows neither the runs of the previous one nor their numbers. Runs in its
// report are its own. A start that has not been answered may still reach it. A start that was
// answered after the report was requested shows only in a later report.
void Engine::onRunnerRestart(Runner &runner, const RunnerReport &report, TimePoint sentAt)
{
    note("runner.reborn", {.job = runner.entry.id},
         "born " + std::to_string(report.bornAt) + " after " + std::to_string(runner.bornAt)
             + ", clock " + std::to_string(report.clock) + " ms");
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
        if (reported.contains(key) || (isAnswered && isLater) || !report.areEndsComplete)
            continue;
        if (isAnswered) {
            gone.push_back(key);
        } else if (task->runPhase == RunPhase::Unconfirmed) {
            run.stopAnsweredAt = {}; // The previous incarnation had answered the stop.
            requestStopOfMissing(run);
        }
    }
    for (const RunKey &key : gone)
        releaseRun(runner, key, "the runner restarted");
    runner.appliedEnds = 0;
    runner.durableEnds = 0;
}

// The call may have been under way while the runner restarted, and be carried out after the
// restart.
void Engine::onMissedCall(const std::string &id, bool hasLease, TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    ++found->second.missedCalls;
    if (hasLease && now < found->second.lateCallsUntil)
        extendLease(found->second, m_options.maxLease, now);
}

// Returns when a lease of the given length, counted from `now`, has certainly expired.
TimePoint Engine::leaseEnd(Duration lease, TimePoint now) const
{
    const auto longest
        = std::chrono::duration_cast<Duration>(lease * (1 + m_options.clockRateMargin));
    return now + longest + m_options.leaseSlack;
}

void Engine::extendLease(Runner &runner, Duration lease, TimePoint now) const
{
    runner.leaseEnd = std::max(runner.leaseEnd, leaseEnd(lease, now));
}

void Engine::onLeaseSent(const std::string &id, TimePoint now)
{
    Runner &runner = m_runners[id];
    extendLease(runner, now < runner.lateCallsUntil ? m_options.maxLease : m_options.lease, now);
}

void Engine::onLeaseGranted(const std::string &id, Duration lease, TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    const Duration granted = std::min(lease, m_options.maxLease);
    if (granted > m_options.lease + m_options.leaseSlack) {
        note("runner.long-lease", {.job = id}, formatMilliseconds(granted));
        found->second.lateCallsUntil = now + m_options.lateCallTime;
    }
    extendLease(found->second, granted, now);
}

// Earlier owners' calls have set a longer lease than was meant only if they were sent to an earlier
// incarnation of the runner and reached this one while it was young. The new owner's fence stops
// them from its first report on.
void Engine::countEarlierLeases(Runner &runner, Duration age, TimePoint now) const
{
    const TimePoint lastCall = std::max(m_earlierOwnersUntil, m_loadedAt) + m_options.maxCallAge;
    const Duration sinceLastCall = now - lastCall;
    const Duration sinceYoung = age - m_options.maxCallAge;
    const Duration elapsed = std::max({sinceLastCall, sinceYoung, Duration{}});
    if (elapsed < m_options.maxLease)
        extendLease(runner, m_options.maxLease - elapsed, now);
}

// Returns whether the runner is known to hold no longer lease than this owner means to give.
bool Engine::isLeaseAsMeant(const Runner &runner, TimePoint now) const
{
    return runner.bornAt != 0 && !runner.isUnreported() && now >= runner.lateCallsUntil
        && runner.leaseEnd <= leaseEnd(m_options.lease, now);
}

// Called when the runner has said that it has the task's run. Lasting tasks must be back soon after
// their runner is lost, also under the next owner, so that their job is written for it.
void Engine::keepKnownLease(Runner &runner, const TaskLocation &location, TimePoint now)
{
    if (location.task->isLeaseKnown || !isLeaseAsMeant(runner, now))
        return;
    location.task->isLeaseKnown = true;
    if (location.spec->isLasting)
        markDirty(*location.entry);
}

void Engine::onReport(const std::string &id, const RunnerReport &report, TimePoint sentAt,
                      TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    Runner &runner = found->second;
    if (report.bornAt < runner.bornAt)
        return; // The report is from the previous incarnation.
    if (report.bornAt > runner.bornAt) {
        if (runner.bornAt != 0) {
            runner.lateCallsUntil = now + m_options.lateCallTime;
            extendLease(runner, m_options.maxLease, now);
            onRunnerRestart(runner, report, sentAt);
        } else {
            extendLease(runner, m_options.lease, now); // An earlier owner may just have renewed it.
            countEarlierLeases(runner, std::chrono::milliseconds(report.clock), now);
        }
        runner.bornAt = report.bornAt;
    }
    runner.answeredAt = std::max(runner.answeredAt, now);
    runner.missedCalls = 0;
    if (!runner.isFenced())
        runner.fencedAt = now;
    runner.reportSentAt = std::max(runner.reportSentAt, sentAt);
    beginInterferenceReport(runner, report, now);
    for (const RunEnd &end : report.ends) {
        const bool isGap = end.number > runner.appliedEnds + 1;
        if (isGap && (runner.appliedEnds > 0 || runner.hasRestarted())) {
            note("runner.ends-missing", {.job = id},
                 std::to_string(runner.appliedEnds) + " is followed by "
                     + std::to_string(end.number));
        }
        if (end.number > runner.appliedEnds) {
            runner.appliedEnds = end.number;
            applyEnd(runner, end, now);
            const auto job = m_jobs.find(end.task.job);
            if (job != m_jobs.end() && job->second.isStateDirty)
                keepFirst(job->second.unsavedEnds, id, {runner.bornAt, end.number});
        }
    }
    applyRunning(runner, report, now);
    applyMissing(runner, report, sentAt);
    observeInterference(runner, now);
    controlPace(runner, now);
}

void Engine::applyRunning(Runner &runner, const RunnerReport &report, TimePoint now)
{
    for (const RunReport &entry : report.running) {
        const RunKey key(entry.task, entry.run);
        const TaskLocation location = find(entry.task);
        Task *task = currentTask(location, entry.run);
        if (task == nullptr || task->runner != runner.entry.id) {
            if (!runner.runs.contains(key)) {
                note("run.stray", entry.task, runner.entry.id);
                addRun(runner, {.task = entry.task, .number = entry.run});
            }
            requestStop(runner.entry.id, entry.task, entry.run);
            continue;
        }
        task->missingReports = 0;
        task->measurement = entry.measurement;
        if (!entry.checkpoint.empty())
            setCheckpoint(location, {task, 1}, entry.checkpoint);
        Run &run = runner.runs.at(key);
        run.leaseEnd = {};
        keepKnownLease(runner, location, now);
        // The runner has the run after all, and its task may be needed more now than when it was
        // given up.
        const bool isFound = run.isMissing && run.stopAnsweredAt == TimePoint{};
        if (!run.mayBeStopped() || isFound) {
            run.isStopRequested = false;
            run.isMissing = false;
        }
        if (task->runPhase != RunPhase::Running) {
            task->runPhase = RunPhase::Running;
            task->startedAt = now;
        }
        applyProgress(runner, run, location, entry.percent, now);
        beginJob(*location.entry);
    }
}

void Engine::beginJob(Entry &entry)
{
    if (entry.job.phase != JobPhase::Queued)
        return;
    entry.job.phase = JobPhase::Running;
    markDirty(entry);
}

// Handles runs that may exist but are missing in the report. While the runner has more ends than it
// lists, a missing run may have ended: its end is listed once earlier ones are acknowledged.
void Engine::applyMissing(Runner &runner, const RunnerReport &report, TimePoint sentAt)
{
    if (!report.areEndsComplete)
        return;
    std::set<RunKey> reported;
    for (const RunReport &entry : report.running)
        reported.insert({entry.task, entry.run});
    std::vector<RunKey> gone;
    for (auto &[key, run] : runner.runs) {
        if (reported.contains(key))
            continue;
        Task *task = currentTask(key.first, key.second);
        if (isKnownGone(run, task, sentAt)) {
            gone.push_back(key);
            continue;
        }
        const bool isLost = task != nullptr && task->runPhase == RunPhase::Running
            && task->startedAt < sentAt && ++task->missingReports >= MissingReports;
        if (isLost && !run.isStopRequested) {
            note("run.missing", key.first,
                 "run " + std::to_string(run.number) + " on " + runner.entry.id + ", "
                     + describeContact(runner, runner.answeredAt));
        }
        const bool isUnconfirmed = task != nullptr && task->runPhase == RunPhase::Unconfirmed;
        if (task == nullptr || isLost || isUnconfirmed)
            requestStopOfMissing(run);
    }
    for (const RunKey &key : gone)
        releaseRun(runner, key, "missing in the report of " + runner.entry.id);
}

// Returns whether a complete report without the run shows that it does not exist and never will:
// either its stop was answered long enough before the report, or an earlier owner ordered it, whose
// fence the runner refuses now.
bool Engine::isKnownGone(const Run &run, const Task *task, TimePoint sentAt) const
{
    const bool isStopped
        = run.stopAnsweredAt != TimePoint{} && sentAt > run.stopAnsweredAt + m_options.stopTime;
    return isStopped || run.isInherited
        || (task != nullptr && task->runPhase == RunPhase::Inherited);
}

void Engine::applyEnd(Runner &runner, const RunEnd &end, TimePoint now)
{
    note("run.ended", end.task,
         std::string(toString(end.kind)) + " run " + std::to_string(end.run) + " on "
             + runner.entry.id);
    removeRun(runner, {end.task, end.run});
    const TaskLocation location = find(end.task);
    if (location.task == nullptr || location.task->phase == TaskPhase::Done)
        return;
    applyCheckpoint(location, end);
    if (end.kind == EndKind::Done && !location.spec->isLasting) {
        observeRunTime(runner, location, end, now);
        recordSuccess(runner, location, end.run, now);
        finishTask(end.task, location);
    } else if (end.kind == EndKind::Failed) {
        location.task->avoidedRunner = runner.entry.id;
        failTask(end.task, location, end.run);
    } else {
        requeueTask(end.task, end.run);
    }
}

// A gang resumes from one checkpoint, which may be that of any member.
void Engine::applyCheckpoint(const TaskLocation &location, const RunEnd &end)
{
    if (end.checkpoint.empty() || end.run < location.task->run)
        return;
    if (location.spec->isGang)
        setCheckpoint(location, location.step->tasks, end.checkpoint);
    else
        setCheckpoint(location, {location.task, 1}, end.checkpoint);
}

// If the job's row has no room for a longer checkpoint, the tasks keep the one before, from which
// they can go on as well. Room for one more task stays free.
void Engine::setCheckpoint(const TaskLocation &location, std::span<Task> tasks,
                           const std::string &checkpoint) const
{
    Entry &entry = *location.entry;
    const std::size_t held = location.spec->hasCheckpoints ? CheckpointBytes : 0;
    std::size_t growth = 0;
    for (const Task &task : tasks) {
        const std::size_t before = std::max(task.checkpoint.size(), held);
        growth += std::max(checkpoint.size(), before) - before;
    }
    if (growth > 0
        && !hasRowRoom(entry, growth + largestTaskBytes(entry.job.spec, entry.job.terms))) {
        note("job.checkpoint-dropped", {.job = entry.job.id},
             std::to_string(checkpoint.size()) + " bytes");
        return;
    }
    entry.rowBytes += growth;
    for (Task &task : tasks)
        task.checkpoint = checkpoint;
}

// If one member is done, the whole gang is done; the other members list their ends as well.
void Engine::finishTask(const TaskName &name, const TaskLocation &location)
{
    Entry &entry = *location.entry;
    const std::uint32_t first = location.spec->isGang ? 0 : name.index;
    const std::uint32_t last = location.spec->isGang ? location.spec->count - 1 : name.index;
    for (std::uint32_t index = first; index <= last; ++index) {
        Task &task = location.step->tasks[index];
        if (task.phase == TaskPhase::Done)
            continue;
        // An earlier run ended successfully after all, so that the current run is not needed any
        // more.
        if (task.phase == TaskPhase::Placed && !location.spec->isGang)
            requestStop(task.runner, name, task.run);
        task = Task{.phase = TaskPhase::Done, .run = task.run};
        ++location.step->doneCount;
    }
    if (entry.job.phase == JobPhase::Queued)
        entry.job.phase = JobPhase::Running;
    markDirty(entry);
    if (location.step->isDone())
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

void Engine::failTask(const TaskName &name, const TaskLocation &location, std::uint64_t run)
{
    Task &task = *location.task;
    const bool isCounted
        = std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end();
    if (!isCounted && !location.spec->isLasting) {
        task.failedRuns.push_back(run);
        markDirty(*location.entry);
    }
    if (!location.spec->isLasting
        && task.failedRuns.size() >= location.entry->job.terms.maxAttempts) {
        note("job.failed", name, std::to_string(task.failedRuns.size()) + " runs failed");
        endJob(*location.entry, JobPhase::Failed);
        return;
    }
    requeueTask(name, run);
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
             + start.runner + describeAges(start, now));
    const bool isAnswered = outcome != StartOutcome::NotSent && outcome != StartOutcome::Unanswered
        && outcome != StartOutcome::OtherIncarnation;
    if (isAnswered)
        runner.answeredAt = std::max(runner.answeredAt, now);
    const TaskLocation location = find(start.task);
    Task *task = currentTask(location, start.run);
    const bool isOrdered = task != nullptr && task->runPhase == RunPhase::Ordered;
    switch (outcome) {
    case StartOutcome::Started:
        if (isOrdered) {
            task->runPhase = RunPhase::Running;
            task->startedAt = now;
            keepKnownLease(runner, location, now);
            beginJob(*location.entry);
        }
        return;
    case StartOutcome::Unanswered: {
        // Another incarnation may have carried out the start.
        const auto run = runner.runs.find({start.task, start.run});
        if (run != runner.runs.end())
            run->second.leaseEnd = leaseEnd(m_options.maxLease, now);
        if (isOrdered)
            task->runPhase = RunPhase::Unconfirmed;
        return;
    }
    // The run exists or has existed there; the runner's reports tell which.
    case StartOutcome::OldRun:
        if (isOrdered)
            task->runPhase = RunPhase::Unconfirmed;
        return;
    case StartOutcome::OtherIncarnation:
        onIncarnationOver(start.runner, start.sentAt);
        break;
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
    releaseRun(runner, {start.task, start.run}, toString(outcome));
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
    run->second.nextStopAt = now + m_options.stopRetry;
    if (isAnswered && run->second.stopAnsweredAt == TimePoint{})
        run->second.stopAnsweredAt = now;
}

// Runs of an ended job are stopped only once its end is in the store.
std::vector<StopOrder> Engine::takeStops(TimePoint now)
{
    std::vector<StopOrder> stops;
    if (!std::exchange(m_hasStopRequests, false))
        return stops;
    for (auto &[id, runner] : m_runners) {
        for (auto &[key, run] : runner.runs) {
            if (!run.isStopRequested)
                continue;
            m_hasStopRequests = true;
            const auto entry = m_jobs.find(run.task.job);
            const bool isEnding = entry != m_jobs.end() && entry->second.job.hasEnded()
                && entry->second.durable != entry->second.job.phase;
            if (isEnding || run.isStopSent || now < run.nextStopAt)
                continue;
            run.isStopSent = true;
            run.lateStopUntil = now + m_options.lateCallTime;
            stops.push_back({id, run.task, run.number});
        }
    }
    return stops;
}

} // namespace sequoiapier::jobs
