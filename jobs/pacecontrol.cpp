#include "jobs/pacecontrol.h"

#include <algorithm>

namespace sequoiapier::jobs {

void PaceControl::onTail(double tailRatio, TimePoint now)
{
    const std::uint32_t before = m_percent;
    if (tailRatio >= 1)
        m_percent = 0;
    else if (tailRatio >= m_options.slowDownRatio)
        m_percent = m_percent / 2 >= m_options.minPercent ? m_percent / 2 : 0;
    else if (tailRatio <= m_options.speedUpRatio)
        m_percent = std::min(m_percent + m_options.increase, 100U);
    if (m_percent != before)
        m_nextAt = now + m_options.settleTime;
}

} // namespace sequoiapier::jobs
