#include "testing/support/virtualtime.h"

#include <algorithm>

namespace sequoiapier {

void VirtualTime::at(TimePoint due, std::function<void()> action)
{
    m_actions.emplace(std::pair(std::max(due, m_now), m_nextSequence++), std::move(action));
}

void VirtualTime::runUntil(TimePoint end)
{
    while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
        auto first = m_actions.extract(m_actions.begin());
        m_now = first.key().first;
        first.mapped()();
    }
    m_now = end;
}

} // namespace sequoiapier
