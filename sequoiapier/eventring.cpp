#include "sequoiapier/eventring.h"

#include <utility>

namespace sequoiapier {

EventRing::EventRing(Options options, HybridClock::WallClock wall)
    : m_options(std::move(options))
    , m_clock(std::move(wall))
{ }

void EventRing::add(std::string_view kind, Event event)
{
    event.time = m_clock.tick();
    event.process = m_options.process;
    event.zone = m_options.zone;
    event.kind = kind;
    if (m_events.size() == m_options.maxEvents) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

} // namespace sequoiapier
