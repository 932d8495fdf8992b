#include "sequoiapier/hybridclock.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

HybridClock::HybridClock(WallClock wall)
    : m_wall(std::move(wall))
{ }

HybridTime HybridClock::tick()
{
    const std::int64_t wall = m_wall();
    if (wall > m_last.wallMicroseconds)
        m_last = {wall, 0};
    else
        ++m_last.counter;
    return m_last;
}

void HybridClock::observe(HybridTime remote)
{
    m_last = std::max(m_last, remote);
}

} // namespace sequoiapier
