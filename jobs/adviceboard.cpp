#include "jobs/adviceboard.h"

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

const AdviceBoard::Decision *AdviceBoard::find(std::string_view step, std::string_view runner) const
{
    const auto record = m_steps.find(step);
    if (record == m_steps.end())
        return nullptr;
    const auto decision = record->second.decisions.find(runner);
    return decision != record->second.decisions.end() ? &decision->second : nullptr;
}

std::string_view AdviceBoard::ticket(std::string_view step, std::string_view runner,
                                     TimePoint now) const
{
    const Decision *decision = find(step, runner);
    const bool isValid = decision != nullptr && decision->isApproved && now < decision->validUntil;
    return isValid ? std::string_view(decision->ticket) : std::string_view();
}

bool AdviceBoard::canBeApproved(std::string_view step, std::string_view runner) const
{
    const Decision *decision = find(step, runner);
    return decision == nullptr || decision->isApproved;
}

// The fixed time of an answer is paid once for all runners in the question, so that naming fewer
// than it pays for saves little. More are named only for tasks that need them.
std::size_t AdviceBoard::runnerCount(const Request &request) const
{
    std::size_t count = std::min(request.runners.size(), m_options.maxRunners);
    if (request.runnerTime <= Duration::zero())
        return count;
    const auto paid = std::size_t(request.baseTime / request.runnerTime);
    return std::min(count, std::max({paid, request.wantedRunners, std::size_t(1)}));
}

void AdviceBoard::request(const Request &request)
{
    if (request.runners.empty())
        return;
    const std::size_t count = runnerCount(request);
    m_request
        = {.step = request.step,
           .need = request.need,
           .runners = {request.runners.begin(), request.runners.begin() + std::ptrdiff_t(count)},
           .serviceTime = request.baseTime + request.runnerTime * std::int64_t(count)};
}

std::optional<AdviceNeed> AdviceBoard::need() const
{
    return m_request ? std::optional(m_request->need) : std::nullopt;
}

std::optional<AdviceQuestion> AdviceBoard::takeQuestion()
{
    return std::exchange(m_request, std::nullopt);
}

void AdviceBoard::onAnswer(const AdviceQuestion &question, const AdviceAnswer &answer,
                           TimePoint now)
{
    if (answer.outcome == AdviceOutcome::Answered)
        record(m_steps[question.step], question, answer.advice, now);
}

void AdviceBoard::record(StepRecord &step, const AdviceQuestion &question, const Advice &advice,
                         TimePoint now) const
{
    for (const std::string &runner : question.runners)
        step.decisions[runner] = {};
    const TimePoint validUntil
        = now + advice.validity - std::min(m_options.ticketMargin, advice.validity / 2);
    for (const Approval &approval : advice.approvals) {
        step.decisions[approval.runner]
            = {.isApproved = true, .ticket = approval.ticket, .validUntil = validUntil};
    }
}

void AdviceBoard::forgetTicket(std::string_view step, std::string_view runner)
{
    const auto record = m_steps.find(step);
    if (record != m_steps.end())
        record->second.decisions.erase(std::string(runner));
}

void AdviceBoard::forgetRunner(std::string_view runner)
{
    const std::string key(runner);
    for (auto &[step, record] : m_steps)
        record.decisions.erase(key);
}

void AdviceBoard::forgetJob(std::string_view job)
{
    const std::string prefix = std::string(job) + ".";
    auto step = m_steps.lower_bound(prefix);
    while (step != m_steps.end() && step->first.starts_with(prefix))
        step = m_steps.erase(step);
    if (m_request && m_request->step.starts_with(prefix))
        m_request.reset();
}

} // namespace sequoiapier::jobs
