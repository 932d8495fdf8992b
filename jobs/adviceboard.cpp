#include "jobs/adviceboard.h"

#include <algorithm>
#include <utility>

namespace sequoiapier::jobs {

const AdviceBoard::Decision *AdviceBoard::find(std::string_view step, std::string_view runner) const
{
    const auto decisions = m_steps.find(step);
    if (decisions == m_steps.end())
        return nullptr;
    const auto decision = decisions->second.find(runner);
    return decision != decisions->second.end() ? &decision->second : nullptr;
}

std::string_view AdviceBoard::ticket(std::string_view step, std::string_view runner,
                                     TimePoint now) const
{
    const Decision *decision = find(step, runner);
    const bool isValid = decision != nullptr && decision->isApproved
        && now + m_options.ticketMargin < decision->validUntil;
    return isValid ? std::string_view(decision->ticket) : std::string_view();
}

bool AdviceBoard::canBeApproved(std::string_view step, std::string_view runner) const
{
    const Decision *decision = find(step, runner);
    return decision == nullptr || decision->isApproved;
}

void AdviceBoard::request(std::string_view step, std::span<const std::string> runners,
                          Duration timeout)
{
    if (m_request || runners.empty())
        return;
    const std::size_t count = std::min(runners.size(), m_options.maxRunners);
    m_request = {.step = std::string(step),
                 .runners = {runners.begin(), runners.begin() + std::ptrdiff_t(count)},
                 .timeout = timeout};
}

std::optional<AdviceQuestion> AdviceBoard::takeQuestion(TimePoint now)
{
    if (m_isAsking || now < m_nextQuestionAt || !m_request)
        return std::nullopt;
    m_isAsking = true;
    return std::exchange(m_request, std::nullopt);
}

void AdviceBoard::onAdvice(const AdviceQuestion &question, const std::optional<Advice> &advice,
                           TimePoint now)
{
    m_isAsking = false;
    if (!advice) {
        m_nextQuestionAt = now + m_options.retryDelay;
        return;
    }
    Decisions &decisions = m_steps[question.step];
    for (const std::string &runner : question.runners)
        decisions[runner] = {};
    for (const Approval &approval : advice->approvals) {
        decisions[approval.runner]
            = {.isApproved = true, .ticket = approval.ticket, .validUntil = now + advice->validity};
    }
}

void AdviceBoard::forgetTicket(std::string_view step, std::string_view runner)
{
    const auto decisions = m_steps.find(step);
    if (decisions != m_steps.end())
        decisions->second.erase(std::string(runner));
}

void AdviceBoard::forgetRunner(std::string_view runner)
{
    const std::string key(runner);
    for (auto &[step, decisions] : m_steps)
        decisions.erase(key);
}

void AdviceBoard::forgetJob(std::string_view job)
{
    const std::string prefix = std::string(job) + ".";
    auto step = m_steps.lower_bound(prefix);
    while (step != m_steps.end() && step->first.starts_with(prefix))
        step = m_steps.erase(step);
}

} // namespace sequoiapier::jobs
