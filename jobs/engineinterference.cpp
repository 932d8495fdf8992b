// Images that slow each other down on one runner: what reports and ends tell about them, and how
// placement keeps them apart. Runners with room are only ranked differently: a task that finds room
// only beside such an image is placed there.
#include "jobs/engine.h"

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

namespace {

// An excess of a half outweighs a host that can't leave the pool (1) and the fullest runner (1);
// one of 1 also outweighs the rack of the data (2), far from which a task takes two to three times
// as long. A runner on which the task has failed (4) is still worse.
constexpr double BasePenalty = 1;
constexpr double PenaltyFactor = 2;
constexpr double MaxPenalty = 3;

std::string describe(const Interference::Change &change)
{
    return change.slowed + " beside " + change.beside + ", by "
        + std::to_string(int(change.excess * 100)) + "% of its target or usual run time";
}

} // namespace

bool Engine::setInterferencePairs(std::string_view pairs, TimePoint now)
{
    return !m_options.isInterferenceAvoided || bool(m_interference.parse(pairs, now));
}

void Engine::beginInterferenceReport(const Runner &runner, const RunnerReport &report,
                                     TimePoint now)
{
    if (!m_options.isInterferenceAvoided || !m_hasImages)
        return;
    // The pace that an earlier owner has set is not known until this one sets another.
    const bool isPaceUnknown
        = std::any_of(runner.runs.begin(), runner.runs.end(), [](const auto &item) {
              return item.second.isFilling && item.second.isOfEarlierOwner
                  && item.second.percent == FullWork;
          });
    m_interference.beginReport(
        runner.entry.id,
        {.clock = report.clock,
         .bornAt = report.bornAt,
         .isExcluded = runner.entry.isCold || runner.isQuarantined || isPaceUnknown},
        now);
}

std::vector<Interference::RunSample> Engine::runSamples(const Runner &runner) const
{
    std::vector<Interference::RunSample> samples;
    for (const auto &[key, run] : runner.runs) {
        if (run.image.empty())
            continue;
        Interference::RunSample sample{.image = run.image, .percent = run.percent};
        const TaskLocation location = find(run.task);
        const Task *task = currentTask(location, run.number);
        if (task != nullptr && task->runPhase == RunPhase::Running) {
            sample.startedAt = task->startedAt;
            // A serving task that is still warming up is slow by itself.
            const bool isAtWork = task->percent >= FullWork && task->missingReports == 0;
            if (run.targetMilliseconds > 0 && isAtWork)
                sample.ratio = double(task->measurement) / run.targetMilliseconds;
        }
        samples.push_back(sample);
    }
    return samples;
}

void Engine::observeInterference(const Runner &runner, TimePoint now)
{
    if (m_options.isInterferenceAvoided && m_hasImages)
        m_interference.observe(runner.entry.id, runSamples(runner), now);
}

// The run time tells nothing if something else than the other tasks is known to have changed it:
// members of a gang wait for each other, filling tasks are paced, and a task far from its data
// takes two or three times as long.
void Engine::observeRunTime(const Runner &runner, const TaskLocation &location, const RunEnd &end,
                            TimePoint now)
{
    const StepSpec &step = *location.spec;
    const Task &task = *location.task;
    if (!m_options.isInterferenceAvoided || step.image.empty() || task.run != end.run
        || task.startedAt == TimePoint{}) {
        return;
    }
    const bool isFarFromData = !step.dataRack.empty() && runner.entry.rack() != step.dataRack;
    double ratio = 0;
    if (!step.isGang && !step.isFilling && !isFarFromData) {
        const std::chrono::duration<double, std::milli> took = now - task.startedAt;
        ratio = took.count() / m_order.runTime(location.entry->job.queue, step);
    }
    m_interference.observeEnd(runner.entry.id, {.image = step.image, .startedAt = task.startedAt},
                              ratio, runSamples(runner), now);
}

void Engine::updateInterference(TimePoint now)
{
    for (const Interference::Change &change : m_interference.update(now)) {
        note(change.isLearned ? "interference.learned" : "interference.forgotten", {},
             describe(change));
    }
}

double Engine::interferencePenalty(const StepSpec &step, const Runner &runner, TimePoint now) const
{
    std::vector<std::string_view> images;
    for (const auto &[key, run] : runner.runs) {
        if (!run.image.empty())
            images.push_back(run.image);
    }
    const double excess = m_interference.penalty(step.image, images, now);
    return excess > 0 ? std::min(BasePenalty + PenaltyFactor * excess, MaxPenalty) : 0;
}

} // namespace sequoiapier::jobs
