// Starts on their way to the runners. A start waits for its job's batch, then behind earlier ones
// of its runner, under load for seconds. A runner that is listed as leaving or as to be emptied in
// the meantime gets none of them; their tasks wait again at once. While the runner's entry is too
// old to tell, its starts wait.
//
// Cost: O(r + s) in runners with waiting starts and starts taken.
#include "jobs/engine.h"

#include <utility>

namespace sequoiapier::jobs {

// Whether its run is its task's current one, still to be begun, and its runner may take it.
bool Engine::isWanted(const StartOrder &start, TimePoint now)
{
    const auto runner = m_runners.find(start.runner);
    if (currentTask(start.task, start.run) == nullptr || runner == m_runners.end())
        return false;
    const auto run = runner->second.runs.find({start.task, start.run});
    return run != runner->second.runs.end() && !run->second.isUnwanted
        && runner->second.isOpen(now);
}

bool Engine::isHeld(const Runner &runner, TimePoint now) const
{
    return runner.startsUnderWay >= m_options.maxStartsUnderWay || !isListedLately(runner, now);
}

bool Engine::isListedLately(const Runner &runner, TimePoint now) const
{
    return now <= runner.entry.listedAt + m_options.listTerm;
}

// The run never begins. Members of a gang work only together, so the others are given up with it.
void Engine::withhold(const StartOrder &start)
{
    const Spot spot = find(start.task);
    if (currentTask(spot, start.run) != nullptr && spot.spec->isGang) {
        TaskName name = start.task;
        for (const Task &member : spot.step->tasks) {
            name.index = std::uint32_t(&member - spot.step->tasks.data());
            if (currentTask(name, start.run) != nullptr)
                unwant(member.runner, name, start.run);
        }
    }
    const auto runner = m_runners.find(start.runner);
    if (runner != m_runners.end())
        resolveRun(runner->second, {start.task, start.run}, "not sent to " + start.runner);
}

std::vector<StartOrder> Engine::takeStarts(TimePoint now)
{
    std::vector<StartOrder> starts;
    for (auto next = m_starts.begin(); next != m_starts.end();) {
        std::deque<StartOrder> &queue = next->second;
        while (!queue.empty()) {
            StartOrder &start = queue.front();
            if (!isWanted(start, now)) {
                withhold(start);
                queue.pop_front();
                continue;
            }
            Runner &runner = m_runners.at(start.runner);
            if (isHeld(runner, now))
                break;
            ++runner.startsUnderWay;
            start.sentAt = now;
            start.listedAt = runner.entry.listedAt;
            start.ticket = m_advice.ticket(stepName(start.task), start.runner, now);
            onLeaseSent(start.runner, now);
            starts.push_back(std::move(start));
            queue.pop_front();
        }
        next = queue.empty() ? m_starts.erase(next) : std::next(next);
    }
    return starts;
}

} // namespace sequoiapier::jobs
