// VirtualTime: a discrete-event clock for tests and parameter sweeps. It never sleeps.
//
//   VirtualTime time;
//   time.after(std::chrono::milliseconds(5), [&] { ... });
//   time.runUntil(time.now() + std::chrono::seconds(10));
//
// Actions due at the same time run in the order in which they were added. O(log n) per action.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sequoiapier {

class VirtualTime
{
public:
    TimePoint now() const { return m_now; }
    void at(TimePoint due, std::function<void()> action);
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }
    // Runs all actions due until `end`, then sets the clock to `end`.
    void runUntil(TimePoint end);
    bool isIdle() const { return m_actions.empty(); }

private:
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_actions;
};

} // namespace sequoiapier
