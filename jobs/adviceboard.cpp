#include "jobs/adviceboard.h"

#include <algorithm>
#include <tuple>
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

// Returns the pause after the `count`-th vain question in a row.
Duration AdviceBoard::pause(unsigned count) const
{
    constexpr unsigned MaxDoublings = 10; // Keeps the product within the range of Duration.
    if (count == 0)
        return {};
    return std::min(m_options.pause * (1 << std::min(count - 1, MaxDoublings)), m_options.maxPause);
}

bool AdviceBoard::accepts(std::string_view step, AdviceNeed need, TimePoint now) const
{
    unsigned unusedAnswers = 0;
    const auto record = m_steps.find(step);
    if (record != m_steps.end()) {
        const bool hasRoom = need == AdviceNeed::Room;
        if (now < record->second.pausedUntil || (!hasRoom && now < record->second.usefulFrom))
            return false;
        unusedAnswers = record->second.unusedAnswers;
    }
    return !m_request
        || std::tie(need, unusedAnswers) < std::tie(m_request->need, m_requestUnusedAnswers);
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
    const auto record = m_steps.find(request.step);
    m_requestUnusedAnswers = record != m_steps.end() ? record->second.unusedAnswers : 0;
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
    if (m_request && m_request->step == question.step) // Made before this answer.
        m_request.reset();
    if (answer.outcome == AdviceOutcome::Answered) {
        record(m_steps[question.step], question, answer.advice, now);
    } else if (answer.outcome == AdviceOutcome::Rejected) {
        StepRecord &step = m_steps[question.step];
        step.pausedUntil = now + pause(++step.rejections);
    }
}

void AdviceBoard::record(StepRecord &step, const AdviceQuestion &question, const Advice &advice,
                         TimePoint now) const
{
    step.rejections = 0;
    for (const std::string &runner : question.runners)
        step.decisions[runner] = {};
    const TimePoint validUntil
        = now + advice.validity - std::min(m_options.ticketMargin, advice.validity / 2);
    for (const Approval &approval : advice.approvals) {
        step.decisions[approval.runner]
            = {.isApproved = true, .ticket = approval.ticket, .validUntil = validUntil};
    }
    if (advice.approvals.empty())
        return;
    ++step.unusedAnswers;
    step.usefulFrom = now + advice.validity + pause(step.unusedAnswers);
    if (step.unusedAnswers > m_options.unusedAnswers)
        step.pausedUntil = now + pause(step.unusedAnswers - m_options.unusedAnswers);
}

void AdviceBoard::onTicketUsed(std::string_view step)
{
    const auto record = m_steps.find(step);
    if (record == m_steps.end())
        return;
    record->second.unusedAnswers = 0;
    record->second.pausedUntil = {};
    record->second.usefulFrom = {};
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
