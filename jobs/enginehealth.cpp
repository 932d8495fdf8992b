// Runners that report well and fail, stall or slow down what they run.
//
// Load that it answers: a tenth of a pool's runners does so for some seconds, while hopeless jobs
// fail everywhere. A runner whose tasks end at once looks free and would draw one task after
// another to it; a task that stands still never ends. Runners are compared with their peers and set
// aside up to a part of the pool; stalled tasks are stopped and placed again. What fails on all
// runners is the jobs' fault and condemns none.
#include "jobs/engine.h"

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

namespace {

constexpr Duration JudgeInterval = std::chrono::milliseconds(100);
// Times its queue's mean that a slow task takes: one far from its data takes two or three.
constexpr double SlowFactor = 4;
constexpr int StallWeight = 4; // a task that stands still tells as much as so many that fail
// A runner reports at least once a second while it runs something.
constexpr Duration ShortestStall = std::chrono::milliseconds(800);
constexpr double StallPart = 0.1; // of a run time; a tenth of it shows even on a slow runner
constexpr Duration StartupPatience = std::chrono::seconds(3); // of a task that lasts

} // namespace

Duration Engine::stallTime(const Spot &spot) const
{
    if (spot.spec->isLasting)
        return StartupPatience;
    const double milliseconds = StallPart * m_order.runTime(spot.entry->job.queue, *spot.spec);
    return std::max(ShortestStall, Duration(std::int64_t(milliseconds * 1000)));
}

// Members of a gang wait for each other, tasks that fill are paced, and a task that lasts at full
// work has nothing to progress to.
void Engine::takeProgress(Runner &runner, Run &run, const Spot &spot, std::uint32_t percent,
                          TimePoint now)
{
    Task &task = *spot.task;
    if (percent != task.percent || task.progressedAt == TimePoint{}) {
        task.percent = percent;
        task.progressedAt = now;
        return;
    }
    const bool isAtWork = spot.spec->isLasting && percent >= FullWork;
    if (spot.spec->isGang || spot.spec->isFilling || isAtWork || run.isUnwanted
        || now < task.progressedAt + stallTime(spot)) {
        return;
    }
    note("run.stalled", run.task, std::to_string(percent) + " % on " + runner.entry.id);
    run.isUnwanted = true;
    m_hasUnwanted = true;
    task.avoidedRunner = runner.entry.id;
    // Against one runner only: a job that stalls elsewhere too is hopeless.
    if (std::exchange(spot.entry->hasChargedRunner, true))
        return;
    for (int i = 0; i < StallWeight; ++i)
        m_quarantine.record(runner.entry.id, true, now);
}

// From a task that ended well: how long its queue's tasks run, and how its runners do. A failure
// counts only now, as hopeless tasks fail everywhere.
void Engine::learn(const Runner &runner, const Spot &spot, std::uint64_t run, TimePoint now)
{
    const Task &task = *spot.task;
    const std::string &queue = spot.entry->job.queue;
    if (task.avoidedRunner != runner.entry.id && m_runners.contains(task.avoidedRunner))
        m_quarantine.record(task.avoidedRunner, true, now);
    bool isSlow = false;
    if (task.run == run && task.startedAt != TimePoint{}) {
        const std::chrono::duration<double, std::milli> took = now - task.startedAt;
        isSlow = took.count() > SlowFactor * m_order.runTime(queue, *spot.spec);
        m_order.learn(queue, took.count());
    }
    m_quarantine.record(runner.entry.id, isSlow, now);
}

void Engine::judgeRunners(TimePoint now)
{
    if (now < m_nextJudgement)
        return;
    m_nextJudgement = now + JudgeInterval;
    const std::vector<std::string> out = m_quarantine.hosts(now);
    for (auto &[id, runner] : m_runners) {
        const bool isOut = std::find(out.begin(), out.end(), id) != out.end();
        if (isOut != runner.isSetAside)
            note(isOut ? "runner.set-aside" : "runner.tried-again", {.job = id});
        runner.isSetAside = isOut;
    }
}

} // namespace sequoiapier::jobs
