// Advice for queues whose policy decides which runners may run a step. A runner is used only with
// the ticket that the policy issued.
#include "jobs/engine.h"

namespace sequoiapier::jobs {

bool Engine::hasAdvice(const Runner &runner, const Candidate &candidate, TimePoint now) const
{
    const Job &job = candidate.entry->job;
    if (!job.terms.advice.isNeeded)
        return true;
    const std::string step = stepName({job.id, candidate.occurrence, candidate.step, 0});
    return !m_advice.ticket(step, runner.entry.id, now).empty();
}

// Requests a question about the runners that could take the step and for which the policy has not
// decided yet or has issued a ticket that has expired.
void Engine::requestAdvice(const Candidate &candidate, TimePoint now)
{
    const Job &job = candidate.entry->job;
    const AdvicePolicy &policy = job.terms.advice;
    if (!policy.isNeeded || m_advice.hasRequest())
        return;
    const std::string step = stepName({job.id, candidate.occurrence, candidate.step, 0});
    std::vector<std::string> open;
    for (const auto &[id, runner] : m_runners) {
        if (isFitFor(runner, candidate, now) && m_advice.canBeApproved(step, id)
            && m_advice.ticket(step, id, now).empty()) {
            open.push_back(id);
        }
    }
    const std::int64_t timeout
        = policy.baseMilliseconds + policy.perRunnerMilliseconds * std::int64_t(open.size());
    m_advice.request(step, open, std::chrono::milliseconds(timeout));
}

// Requests questions about steps whose turn has not come, while no step that could start waits for
// advice.
void Engine::requestAdviceAhead(TimePoint now)
{
    if (!m_hasAdvisedJobs)
        return;
    for (const auto &[id, live] : m_live) {
        Entry &entry = *live;
        if (!entry.job.terms.advice.isNeeded)
            continue;
        for (const auto &[number, occurrence] : entry.job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (m_advice.hasRequest())
                    return;
                if (occurrence.steps[step].waitingCount() > 0)
                    requestAdvice({&entry, number, step, {}}, now);
            }
        }
    }
}

void Engine::onAdvice(const AdviceQuestion &question, const std::optional<Advice> &advice,
                      TimePoint now)
{
    note("step.advised", {.job = question.step},
         advice ? std::to_string(advice->approvals.size()) + " of "
                 + std::to_string(question.runners.size()) + " runners approved"
                : "no answer");
    m_advice.onAdvice(question, advice, now);
    const std::string job = question.step.substr(0, question.step.find('.'));
    if (!m_live.contains(job)) // The job has ended meanwhile.
        m_advice.forgetJob(job);
}

} // namespace sequoiapier::jobs
