// Advice for queues whose policy decides which runners may run a step. A runner is used only with
// the ticket that the policy issued. AdviceBoard chooses among the steps that are offered here.
#include "jobs/engine.h"

#include <algorithm>

namespace sequoiapier::jobs {

namespace {

// Steps are asked about ahead once they are due within the service time of this many answers, so
// that the ticket is there when the step's turn comes and has not expired by then.
constexpr int AnswersAhead = 2;

// Returns how many tasks of the size have room, at most `most`.
std::size_t taskCount(Resources room, const Resources &size, std::size_t most)
{
    std::size_t count = 0;
    for (; count < most && fits(size, room); ++count)
        room -= size;
    return count;
}

} // namespace

bool Engine::hasAdvice(const Runner &runner, const Candidate &candidate, TimePoint now) const
{
    const Job &job = candidate.entry->job;
    if (!job.terms.advice.isNeeded)
        return true;
    const std::string step = stepName({job.id, candidate.occurrence, candidate.step, 0});
    return !m_advice.ticket(step, runner.entry.id, now).empty();
}

// Returns the runners that the policy may approve and for which there is no valid ticket, those
// with room for a task first.
Engine::AdviceTargets Engine::adviceTargets(const Candidate &candidate, const std::string &step,
                                            TimePoint now) const
{
    const Job &job = candidate.entry->job;
    const StepSpec &spec = job.spec.steps[candidate.step];
    const std::size_t waiting
        = job.occurrences.at(candidate.occurrence).steps[candidate.step].waitingCount();
    const std::size_t perRunner
        = spec.maxPerRunner > 0 ? std::min<std::size_t>(waiting, spec.maxPerRunner) : waiting;
    AdviceTargets targets{.waiting = waiting};
    std::vector<std::string> full;
    for (const auto &[id, runner] : m_runners) {
        if (!isFitFor(runner, candidate, now) || !m_advice.canBeApproved(step, id))
            continue;
        const std::size_t room = isReservedFor(runner, candidate, now)
            ? 0
            : taskCount(runner.room(), spec.room(), perRunner);
        const bool isOpen = m_advice.ticket(step, id, now).empty();
        targets.roomInAll += room;
        if (isOpen && room > 0) {
            targets.runners.push_back(id);
            if (targets.room < waiting)
                targets.neededRunners = targets.runners.size();
            targets.room += room;
        } else if (isOpen) {
            full.push_back(id);
        }
    }
    targets.withRoom = targets.runners.size();
    targets.runners.insert(targets.runners.end(), full.begin(), full.end());
    return targets;
}

// Returns whether the tasks that wait for advice could start on the runners with room. The members
// of a gang start only together.
bool Engine::hasRoomFor(const Candidate &candidate, const AdviceTargets &targets) const
{
    const Job &job = candidate.entry->job;
    const StepSpec &spec = job.spec.steps[candidate.step];
    const std::size_t together = spec.isGang ? spec.count : 1;
    return targets.withRoom > 0 && targets.roomInAll >= together
        && isWithinCeiling(job.team, spec.size * double(together));
}

// Offers a question about a step whose turn has come.
void Engine::requestAdvice(const Candidate &candidate, TimePoint now)
{
    const Job &job = candidate.entry->job;
    if (!job.terms.advice.isNeeded)
        return;
    const std::string step = stepName({job.id, candidate.occurrence, candidate.step, 0});
    if (!m_advice.accepts(step, AdviceNeed::Room, now))
        return; // Nor for a need that comes later.
    AdviceTargets targets = adviceTargets(candidate, step, now);
    if (hasRoomFor(candidate, targets)) {
        targets.runners.resize(targets.withRoom);
        offerQuestion(candidate, step, AdviceNeed::Room, targets, now);
    } else {
        offerQuestion(candidate, step, AdviceNeed::NoRoom, targets, now);
    }
}

void Engine::offerQuestion(const Candidate &candidate, const std::string &step, AdviceNeed need,
                           const AdviceTargets &targets, TimePoint now)
{
    if (!m_advice.accepts(step, need, now))
        return;
    const AdvicePolicy &policy = candidate.entry->job.terms.advice;
    m_advice.request(
        {.step = step,
         .need = need,
         .runners = targets.runners,
         .wantedRunners = need == AdviceNeed::Room ? targets.neededRunners : targets.waiting,
         .baseTime = std::chrono::milliseconds(policy.baseMilliseconds),
         .runnerTime = std::chrono::milliseconds(policy.perRunnerMilliseconds)});
}

// Offers questions about steps that will soon be due, unless one with room waits already.
void Engine::requestAdviceAhead(TimePoint now)
{
    if (!m_hasAdvisedJobs)
        return;
    for (const auto &[id, live] : m_live) {
        Entry &entry = *live;
        if (!entry.job.terms.advice.isNeeded || entry.isSetApart)
            continue;
        for (const auto &[number, occurrence] : entry.job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (m_advice.need() && *m_advice.need() <= AdviceNeed::Ahead)
                    return;
                if (occurrence.steps[step].waitingCount() > 0)
                    requestAdviceAhead({&entry, number, step, {}}, now);
            }
        }
    }
}

void Engine::requestAdviceAhead(const Candidate &candidate, TimePoint now)
{
    const Job &job = candidate.entry->job;
    const std::optional<TimePoint> due = expectedTurn(candidate, now);
    if (!due)
        return;
    const std::string step = stepName({job.id, candidate.occurrence, candidate.step, 0});
    if (!m_advice.accepts(step, AdviceNeed::Ahead, now))
        return;
    const AdvicePolicy &policy = job.terms.advice;
    const AdviceTargets targets = adviceTargets(candidate, step, now);
    const std::int64_t answer = policy.baseMilliseconds
        + policy.perRunnerMilliseconds * std::int64_t(targets.runners.size());
    if (*due <= now + AnswersAhead * std::chrono::milliseconds(answer))
        offerQuestion(candidate, step, AdviceNeed::Ahead, targets, now);
}

// Returns when the tasks of the earlier steps are expected to be done; nullopt if the step's turn
// has come or if some of those tasks have not been placed.
std::optional<TimePoint> Engine::expectedTurn(const Candidate &candidate, TimePoint now) const
{
    const Job &job = candidate.entry->job;
    const Occurrence &occurrence = job.occurrences.at(candidate.occurrence);
    std::optional<TimePoint> turn;
    for (const std::uint32_t before : job.spec.steps[candidate.step].after) {
        const Step &step = occurrence.steps[before];
        if (job.spec.steps[before].isLasting || step.waitingCount() > 0)
            return std::nullopt;
        if (step.isDone())
            continue;
        const double runTime = runMilliseconds({candidate.entry, candidate.occurrence, before, {}});
        for (const Task &task : step.tasks) {
            const TimePoint begin = task.startedAt != TimePoint{} ? task.startedAt : now;
            if (task.phase == TaskPhase::Placed)
                turn = std::max(turn.value_or(now),
                                begin + std::chrono::milliseconds(std::int64_t(runTime)));
        }
    }
    return turn;
}

void Engine::onAdvice(const AdviceQuestion &question, const AdviceAnswer &answer, TimePoint now)
{
    note("step.advised", {.job = question.step},
         answer.outcome == AdviceOutcome::Answered ? std::to_string(answer.advice.approvals.size())
                 + " of " + std::to_string(question.runners.size()) + " runners approved"
                                                   : std::string(toString(answer.outcome)));
    m_advice.onAnswer(question, answer, now);
    const std::string job = question.step.substr(0, question.step.find('.'));
    if (!m_live.contains(job)) // The job has ended meanwhile.
        m_advice.forgetJob(job);
}

} // namespace sequoiapier::jobs
