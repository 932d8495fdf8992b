// Pacing of filling tasks by the response times that runners report for serving tasks.
#include "jobs/engine.h"

#include <algorithm>

namespace sequoiapier::jobs {

// Returns whether filling tasks run beside serving tasks, so that the runner is to be polled often.
bool Engine::isPaced(const Runner &runner)
{
    bool isFilled = false;
    bool isServing = false;
    for (const auto &[key, run] : runner.runs) {
        isFilled = isFilled || run.isFilling;
        isServing = isServing || run.targetMilliseconds > 0;
    }
    return isFilled && isServing;
}

void Engine::controlPace(Runner &runner, TimePoint now)
{
    if (!isPaced(runner)) {
        runner.pace.onNoServingTasks();
        return;
    }
    if (!runner.pace.isDue(now))
        return;
    double worst = 0;
    for (const auto &[key, run] : runner.runs) {
        const Task *task = currentTask(run.task, run.number);
        if (run.targetMilliseconds > 0 && task != nullptr)
            worst = std::max(worst, double(task->measurement) / run.targetMilliseconds);
    }
    const std::uint32_t before = runner.pace.percent();
    runner.pace.onTail(worst, now);
    if (runner.pace.percent() != before) {
        note("runner.paced", {.job = runner.entry.id},
             std::to_string(runner.pace.percent()) + "% at a tail of "
                 + std::to_string(int(worst * 100)) + "% of the target");
    }
}

std::vector<PaceOrder> Engine::takePaces(TimePoint now)
{
    std::vector<PaceOrder> paces;
    if (m_fillingRuns == 0)
        return paces;
    for (auto &[id, runner] : m_runners) {
        for (auto &[key, run] : runner.runs) {
            if (!run.isFilling || run.percent == runner.pace.percent() || now < run.nextPaceAt)
                continue;
            const Task *task = currentTask(run.task, run.number);
            if (task == nullptr || task->runPhase != RunPhase::Running)
                continue;
            run.nextPaceAt = now + m_options.paceRetry;
            paces.push_back({.runner = id,
                             .task = run.task,
                             .run = run.number,
                             .percent = runner.pace.percent()});
        }
    }
    return paces;
}

void Engine::onPaceAnswer(const PaceOrder &pace, bool isAnswered)
{
    const auto runner = m_runners.find(pace.runner);
    if (runner == m_runners.end() || !isAnswered)
        return; // The order is sent again.
    const auto run = runner->second.runs.find({pace.task, pace.run});
    if (run == runner->second.runs.end())
        return;
    run->second.percent = pace.percent;
    run->second.nextPaceAt = {};
}

} // namespace sequoiapier::jobs
