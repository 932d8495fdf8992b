// Evacuation of runners whose hosts are to leave.
//
// If a step limits how many of its tasks may be out of service, a lasting task of it is ended only
// while enough of the other tasks are at work. A task counts as out of service unless the latest
// report of a responding runner shows it at full work, so that a failure is counted as soon as it
// may have happened. A runner that has accepted an earlier owner's stop shows the task at full work
// until it has carried out the stop.
#include "jobs/engine.h"

#include <algorithm>

namespace sequoiapier::jobs {

void Engine::evacuate(const std::string &id, TimePoint until)
{
    const auto found = m_runners.find(id);
    if (found != m_runners.end())
        found->second.evacuatedUntil = until;
}

bool Engine::isAtWork(const TaskName &name, const Task &task) const
{
    if (task.phase != TaskPhase::Placed || task.runPhase != RunPhase::Running
        || task.percent < FullWork) {
        return false;
    }
    const auto found = m_runners.find(task.runner);
    if (found == m_runners.end() || found->second.missedCalls > 0)
        return false;
    const Runner &runner = found->second;
    const auto run = runner.runs.find({name, task.run});
    if (run == runner.runs.end() || run->second.isStopRequested
        || runner.reportSentAt < run->second.lateStopUntil) {
        return false;
    }
    // A stop of the earlier owner may still be carried out.
    return !run->second.isOfEarlierOwner
        || runner.reportSentAt >= runner.fencedAt + m_options.stopTime;
}

bool Engine::canEndTask(const TaskName &name, const TaskLocation &location) const
{
    if (location.entry->isSetApart)
        return false; // The task could not be started elsewhere.
    if (location.spec->maxUnavailable == 0)
        return true;
    std::uint32_t out = 0;
    TaskName other = name;
    for (const Task &task : location.step->tasks) {
        other.index = std::uint32_t(&task - location.step->tasks.data());
        out += other != name && !isAtWork(other, task) ? 1 : 0;
    }
    return out < location.spec->maxUnavailable;
}

// The limit does not apply to a draining runner, which ends its tasks anyway.
void Engine::moveLastingTasks(TimePoint now)
{
    for (auto &[id, runner] : m_runners) {
        const bool isDraining = runner.entry.isDraining;
        if (!isDraining && now >= runner.evacuatedUntil)
            continue;
        for (auto &[key, run] : runner.runs) {
            const TaskLocation location = find(key.first);
            if (location.task == nullptr || !location.spec->isLasting || run.isStopRequested
                || location.task->run != key.second) {
                continue;
            }
            if (isDraining || canEndTask(key.first, location)) {
                note("run.moved", key.first, "moved away from " + id);
                run.isStopRequested = true;
                m_hasStopRequests = true;
            }
        }
    }
}

bool Engine::isEmpty(const std::string &id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() || found->second.runs.empty();
}

bool Engine::needsFrequentPolling(const std::string &id) const
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return false;
    const Runner &runner = found->second;
    return isPaced(runner)
        || std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
               const TaskLocation location = find(item.first.first);
               return location.task != nullptr && location.spec->isLasting
                   && !isAtWork(item.first.first, *location.task);
           });
}

} // namespace sequoiapier::jobs
