// A token bucket that is refilled by successes and, at a low rate, by time. O(1).
#include "gateway/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace sequoiapier {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_tokens(options.maxTokens)
{ }

void RetryBudget::onSuccess()
{
    m_tokens = std::min(m_tokens + m_options.perSuccess, m_options.maxTokens);
}

bool RetryBudget::tryTake(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_lastRefill = std::max(m_lastRefill, now);
    m_tokens
        = std::min(m_tokens + std::max(seconds, 0.0) * m_options.perSecond, m_options.maxTokens);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace sequoiapier
