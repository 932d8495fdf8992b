// DueTimes: when the running timers of a loop are due.
//
//   DueTimes::Handle handle = dueTimes.add(due);
//   dueTimes.remove(handle);
//   if (std::optional<Duration> wait = dueTimes.fractionBefore(now, milliseconds(1))) ...
//
// O(log n) in running timers.
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

    // The time until the next timer is due, if that is less than `resolution` and has not passed.
    std::optional<Duration> fractionBefore(TimePoint now, Duration resolution) const
    {
        if (m_times.empty())
            return std::nullopt;
        const Duration left = *m_times.begin() - now;
        return left > Duration{} && left < resolution ? std::optional(left) : std::nullopt;
    }

private:
    std::multiset<TimePoint> m_times;
};

} // namespace sequoiapier
