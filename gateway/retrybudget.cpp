// A token bucket filled by successes and, slowly, by time.
#include "gateway/retrybudget.h"

#include <algorithm>
#include <chrono>

namespace sequoiapier {

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_saved(options.maxSaved)
{ }

void RetryBudget::onSuccess()
{
    m_saved = std::min(m_saved + m_options.perSuccess, m_options.maxSaved);
}

bool RetryBudget::tryTake(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_earnedUntil).count();
    m_earnedUntil = std::max(m_earnedUntil, now);
    m_saved = std::min(m_saved + std::max(seconds, 0.0) * m_options.perSecond, m_options.maxSaved);
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace sequoiapier
