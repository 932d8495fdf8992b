#include "jobs/adviceschedule.h"

#include <algorithm>
#include <tuple>

namespace sequoiapier::jobs {

namespace {

// Least service time that a turn counts, so that pools also take turns if calls take no time.
constexpr Duration MinTurn = std::chrono::milliseconds(1);

// Returns `base` doubled `count` times, up to `bound`.
Duration doubled(Duration base, unsigned count, Duration bound)
{
    constexpr unsigned MaxDoublings = 10; // Keeps the product within the range of Duration.
    return std::min(base * (1 << std::min(count, MaxDoublings)), std::max(base, bound));
}

} // namespace

TimePoint AdviceSchedule::nextCallAt() const
{
    TimePoint due = m_pausedUntil;
    if (!m_open.empty())
        due = std::max(due, m_open.back().overdueAt);
    if (m_open.size() >= m_options.maxOpenCalls) {
        const auto first
            = std::min_element(m_open.begin(), m_open.end(), [](const Call &a, const Call &b) {
                  return a.deadline < b.deadline;
              });
        due = std::max(due, first->deadline);
    }
    return due;
}

std::optional<std::string> AdviceSchedule::next(std::span<const Waiting> waiting,
                                                TimePoint now) const
{
    if (waiting.empty() || now < nextCallAt())
        return std::nullopt;
    const auto rank = [this](const Waiting &entry) {
        const auto used = m_used.find(entry.pool);
        const Duration turn = used != m_used.end() ? std::max(used->second, m_turn) : m_turn;
        return std::tuple(entry.need, turn);
    };
    const auto first
        = std::min_element(waiting.begin(), waiting.end(),
                           [&](const Waiting &a, const Waiting &b) { return rank(a) < rank(b); });
    return first->pool;
}

// Time beyond its service time after which a call is overdue.
Duration AdviceSchedule::allowance() const
{
    return std::max(m_options.answerDelay, std::min(m_delay, m_options.maxDelay));
}

// The service may still have to answer all open calls before this one.
AdviceSchedule::Call AdviceSchedule::begin(const std::string &pool, Duration serviceTime,
                                           TimePoint now)
{
    Duration before{};
    for (const Call &call : m_open)
        before += call.serviceTime;
    const Duration own = doubled(serviceTime + allowance(), m_unanswered, m_options.maxDelay);
    const Duration overdueAfter = before + own;
    const Duration patience
        = std::max(m_options.patienceFactor * overdueAfter, m_options.minPatience);
    const Call call{.number = ++m_lastNumber,
                    .pool = pool,
                    .sentAt = now,
                    .serviceTime = serviceTime,
                    .overdueAt = now + overdueAfter,
                    .deadline = now + patience};
    m_open.push_back(call);
    ++m_unanswered;
    Duration &used = m_used[pool];
    m_turn = std::max(m_turn, used);
    used = m_turn + std::max(serviceTime, MinTurn);
    return call;
}

void AdviceSchedule::end(std::uint64_t number, AdviceOutcome outcome,
                         std::optional<TimePoint> retryAt, TimePoint now)
{
    const auto call = std::find_if(m_open.begin(), m_open.end(),
                                   [&](const Call &open) { return open.number == number; });
    if (call == m_open.end())
        return;
    const Call ended = *call;
    m_open.erase(call);
    switch (outcome) {
    case AdviceOutcome::Answered:
        chargeDelay(ended, now);
        [[fallthrough]];
    case AdviceOutcome::Rejected:
        m_answeredAt = now;
        m_unanswered = 0;
        m_refused = 0;
        break;
    case AdviceOutcome::Busy:
    case AdviceOutcome::NotSent:
    case AdviceOutcome::Unanswered: {
        if (now >= ended.overdueAt)
            break; // Other calls have been allowed since.
        const TimePoint ownRetry = now + doubled(m_options.pause, m_refused, m_options.maxPause);
        const TimePoint asked = std::min(retryAt.value_or(ownRetry), now + m_options.maxRetryDelay);
        m_pausedUntil = std::max(ownRetry, asked);
        ++m_refused;
        break;
    }
    }
}

// The pool has also used the time by which the answer exceeded its service time, unless that is so
// long that the service must have been in trouble, for which no single pool is to wait. The service
// began with this call when it had answered the one before.
void AdviceSchedule::chargeDelay(const Call &answered, TimePoint now)
{
    const Duration taken = now - std::max(answered.sentAt, m_answeredAt);
    m_delay = std::max(taken - answered.serviceTime, Duration::zero());
    const auto used = m_used.find(answered.pool);
    if (used != m_used.end())
        used->second += std::min(m_delay, m_options.answerDelay);
}

bool AdviceSchedule::isOverdue(std::uint64_t number, TimePoint now) const
{
    return std::any_of(m_open.begin(), m_open.end(), [&](const Call &call) {
        return call.number == number && now >= call.overdueAt;
    });
}

} // namespace sequoiapier::jobs
