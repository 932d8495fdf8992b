// Emptying runners whose hosts are to go.
//
// A task that lasts and whose step bounds how many may be out is ended only while so many of the
// others are at work that the bound holds. Others count as out unless the newest report of a runner
// that answers shows them at full work, so that an accident is counted as soon as it may have
// happened.
#include "jobs/engine.h"

#include <algorithm>

namespace sequoiapier::jobs {

void Engine::evacuate(const std::string &id, TimePoint until)
{
    const auto found = m_runners.find(id);
    if (found != m_runners.end())
        found->second.evacuatedUntil = until;
}

bool Engine::isAtWork(const Task &task) const
{
    if (task.phase != TaskPhase::Placed || task.runPhase != RunPhase::Running
        || task.percent < FullWork) {
        return false;
    }
    const auto runner = m_runners.find(task.runner);
    if (runner == m_runners.end() || runner->second.missedCalls > 0)
        return false;
    const auto run = std::find_if(
        runner->second.runs.begin(), runner->second.runs.end(),
        [&](const auto &item) { return item.second.isUnwanted && item.first.second == task.run; });
    return run == runner->second.runs.end();
}

bool Engine::mayEnd(const Spot &spot) const
{
    if (spot.spec->maxUnavailable == 0)
        return true;
    const auto out = std::count_if(spot.step->tasks.begin(), spot.step->tasks.end(),
                                   [&](const Task &t) { return &t != spot.task && !isAtWork(t); });
    return std::uint32_t(out) < spot.spec->maxUnavailable;
}

// A runner that drains ends what it runs anyway, so that no bound applies there.
void Engine::moveLasting(TimePoint now)
{
    for (auto &[id, runner] : m_runners) {
        const bool isDraining = runner.entry.isDraining;
        if (!isDraining && now >= runner.evacuatedUntil)
            continue;
        for (auto &[key, run] : runner.runs) {
            const Spot spot = find(key.first);
            if (spot.task == nullptr || !spot.spec->isLasting || run.isUnwanted
                || spot.task->run != key.second) {
                continue;
            }
            if (isDraining || mayEnd(spot)) {
                note("run.moved", key.first, "away from " + id);
                run.isUnwanted = true;
                m_hasUnwanted = true;
            }
        }
    }
}

bool Engine::isEmpty(const std::string &id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() || found->second.runs.empty();
}

bool Engine::isWatched(const std::string &id) const
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return false;
    const Runner &runner = found->second;
    return isPaced(runner)
        || std::any_of(runner.runs.begin(), runner.runs.end(), [&](const auto &item) {
               const Spot spot = find(item.first.first);
               return spot.task != nullptr && spot.spec->isLasting && !isAtWork(*spot.task);
           });
}

} // namespace sequoiapier::jobs
