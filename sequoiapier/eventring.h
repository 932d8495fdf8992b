// EventRing: a bounded buffer of the latest events of one process.
//
//   ring.add("key.withdrawn", {.subject = "team-a", .epoch = version});
//
// add() is O(1). When the buffer is full, the oldest event is dropped and counted.
#pragma once

#include "sequoiapier/event.h"
#include "sequoiapier/hybridclock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace sequoiapier {

class EventRing
{
public:
    struct Options
    {
        std::string process;
        std::string zone;
        std::size_t maxEvents = 4096;
    };

    EventRing(Options options, HybridClock::WallClock wall);

    // Sets the time, process, zone and kind of `event` and appends it.
    void add(std::string_view kind, Event event);

    const std::deque<Event> &events() const { return m_events; }
    std::uint64_t droppedCount() const { return m_dropped; }
    HybridClock &clock() { return m_clock; }

private:
    Options m_options;
    HybridClock m_clock;
    std::deque<Event> m_events;
    std::uint64_t m_dropped = 0;
};

} // namespace sequoiapier
