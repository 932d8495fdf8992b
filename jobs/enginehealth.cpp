// Quarantine of runners that answer normally but fail, stall or slow down their tasks.
//
// A tenth of a pool's runners may be bad for some seconds, while hopeless jobs fail on all runners.
// A runner whose tasks end at once looks free and would attract one task after another; a stalled
// task never ends. Runners are therefore compared with their peers, and at most a fraction of the
// pool is quarantined. Stalled tasks are stopped and placed again. Failures on all runners are
// caused by the jobs and put no runner into quarantine.
#include "jobs/engine.h"

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

namespace {

constexpr Duration QuarantineInterval = std::chrono::milliseconds(100);
// Run time, in means of its queue, from which a task is slow: a task far from its data takes two or
// three.
constexpr double SlowFactor = 4;
constexpr int StallWeight = 4; // Number of failed tasks that one stalled task counts as.
// A runner with tasks reports at least once a second.
constexpr Duration MinStallTime = std::chrono::milliseconds(800);
// Fraction of the run time; the progress in a tenth of it shows even on a slow runner.
constexpr double StallFraction = 0.1;
constexpr Duration StartupTime = std::chrono::seconds(3); // Startup time of a lasting task.

} // namespace

Duration Engine::stallTime(const TaskLocation &location) const
{
    if (location.spec->isLasting)
        return StartupTime;
    const double milliseconds
        = StallFraction * m_order.runTime(location.entry->job.queue, *location.spec);
    return std::max(MinStallTime, Duration(std::int64_t(milliseconds * 1000)));
}

// Three kinds of tasks without progress are not stalled: members of a gang wait for each other,
// filling tasks are paced, and a lasting task at full work has nothing left to progress to.
void Engine::applyProgress(Runner &runner, Run &run, const TaskLocation &location,
                           std::uint32_t percent, TimePoint now)
{
    Task &task = *location.task;
    if (percent != task.percent || task.progressedAt == TimePoint{}) {
        task.percent = percent;
        task.progressedAt = now;
        return;
    }
    const bool isAtWork = location.spec->isLasting && percent >= FullWork;
    if (location.spec->isGang || location.spec->isFilling || isAtWork || run.isStopRequested
        || now < task.progressedAt + stallTime(location)) {
        return;
    }
    note("run.stalled", run.task, std::to_string(percent) + " % on " + runner.entry.id);
    run.isStopRequested = true;
    m_hasStopRequests = true;
    task.avoidedRunner = runner.entry.id;
    // Counted against one runner only: a job that stalls elsewhere too is hopeless.
    if (std::exchange(location.entry->hasCountedStall, true))
        return;
    for (int i = 0; i < StallWeight; ++i)
        m_quarantine.record(runner.entry.id, true, now);
}

// Learns from a successful task how long the queue's tasks run and how its runners perform. An
// earlier failure of the task is counted only now, since hopeless tasks fail on every runner.
void Engine::recordSuccess(const Runner &runner, const TaskLocation &location, std::uint64_t run,
                           TimePoint now)
{
    const Task &task = *location.task;
    const std::string &queue = location.entry->job.queue;
    if (task.avoidedRunner != runner.entry.id && m_runners.contains(task.avoidedRunner))
        m_quarantine.record(task.avoidedRunner, true, now);
    bool isSlow = false;
    if (task.run == run && task.startedAt != TimePoint{}) {
        const std::chrono::duration<double, std::milli> took = now - task.startedAt;
        isSlow = took.count() > SlowFactor * m_order.runTime(queue, *location.spec);
        m_order.recordRunTime(queue, took.count());
        m_admission.recordRunTime(queue, took.count() / 1000);
    }
    m_quarantine.record(runner.entry.id, isSlow, now);
}

void Engine::updateQuarantine(TimePoint now)
{
    if (now < m_nextQuarantineUpdate)
        return;
    m_nextQuarantineUpdate = now + QuarantineInterval;
    const std::vector<std::string> out = m_quarantine.hosts(now);
    for (auto &[id, runner] : m_runners) {
        const bool isQuarantinedNow = std::find(out.begin(), out.end(), id) != out.end();
        if (isQuarantinedNow != runner.isQuarantined)
            note(isQuarantinedNow ? "runner.set-aside" : "runner.tried-again", {.job = id});
        runner.isQuarantined = isQuarantinedNow;
    }
}

} // namespace sequoiapier::jobs
