// DueTimes: the due times of the running timers of a loop, in order.
//
//   DueTimes::Handle handle = dueTimes.add(due);
//   dueTimes.remove(handle);
//   if (std::optional<Duration> wait = dueTimes.subResolutionWait(now, milliseconds(1))) ...
//
// add() is O(log n) in the number of running timers; the other operations are O(1).
#pragma once

#include "sequoiapier/bootclock.h"

#include <optional>
#include <set>

namespace sequoiapier {

class DueTimes
{
public:
    using Handle = std::multiset<TimePoint>::iterator;

    Handle add(TimePoint due) { return m_times.insert(due); }
    void remove(Handle handle) { m_times.erase(handle); }

    // The time until the next timer is due if it is positive and less than `resolution`, otherwise
    // nullopt.
    std::optional<Duration> subResolutionWait(TimePoint now, Duration resolution) const
    {
        if (m_times.empty())
            return std::nullopt;
        const Duration remaining = *m_times.begin() - now;
        return remaining > Duration{} && remaining < resolution ? std::optional(remaining)
                                                                : std::nullopt;
    }

private:
    std::multiset<TimePoint> m_times;
};

} // namespace sequoiapier
