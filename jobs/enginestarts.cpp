// Sending of starts to the runners. A start waits for its job's batch and then for earlier starts
// on its runner, which takes seconds under load. If the runner is listed as draining or is to be
// evacuated meanwhile, its starts are not sent and their tasks wait again at once. While the
// runner's entry is too old to tell, its starts are held.
//
// Cost: O(r + s) in runners with waiting starts and starts taken.
#include "jobs/engine.h"

#include <utility>

namespace sequoiapier::jobs {

// Returns whether the run is the current one of its task, is not to be stopped, and the runner
// accepts tasks. A runner would refuse a start whose ticket has expired meanwhile.
bool Engine::isStartValid(const StartOrder &start, TimePoint now)
{
    const auto runner = m_runners.find(start.runner);
    if (currentTask(start.task, start.run) == nullptr || runner == m_runners.end())
        return false;
    if (m_jobs.at(start.task.job).job.terms.advice.isNeeded
        && m_advice.ticket(stepName(start.task), start.runner, now).empty()) {
        return false;
    }
    const auto run = runner->second.runs.find({start.task, start.run});
    return run != runner->second.runs.end() && !run->second.isStopRequested
        && runner->second.isOpen(now);
}

bool Engine::isHeld(const Runner &runner, TimePoint now) const
{
    return runner.startsUnderWay >= m_options.maxStartsUnderWay || !isListedLately(runner, now);
}

bool Engine::isListedLately(const Runner &runner, TimePoint now) const
{
    return now <= runner.entry.listedAt + m_options.maxListingAge;
}

// Gives up a start that was not sent. Members of a gang work only together, so that the other
// members are given up as well.
void Engine::abandonStart(const StartOrder &start)
{
    const TaskLocation location = find(start.task);
    if (currentTask(location, start.run) != nullptr && location.spec->isGang) {
        TaskName name = start.task;
        for (const Task &member : location.step->tasks) {
            name.index = std::uint32_t(&member - location.step->tasks.data());
            if (currentTask(name, start.run) != nullptr)
                requestStop(member.runner, name, start.run);
        }
    }
    const auto runner = m_runners.find(start.runner);
    if (runner != m_runners.end())
        releaseRun(runner->second, {start.task, start.run}, "start not sent to " + start.runner);
}

std::vector<StartOrder> Engine::takeStarts(TimePoint now)
{
    std::vector<StartOrder> starts;
    for (auto next = m_starts.begin(); next != m_starts.end();) {
        std::deque<StartOrder> &queue = next->second;
        while (!queue.empty()) {
            StartOrder &start = queue.front();
            if (!isStartValid(start, now)) {
                abandonStart(start);
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
