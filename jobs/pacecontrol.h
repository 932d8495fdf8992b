// PaceControl: limits the processor share of filling tasks on a runner that also has serving tasks.
//
//   if (control.isDue(now))
//       control.onTail(worst, now);                  // worst ratio of tail to target
//   std::uint32_t percent = control.percent();       // for each filling task on the runner
//
// Filling tasks slow down serving tasks by amounts that differ by image and change within seconds,
// and a serving task that is over its target for seconds violates its service level. The share is
// therefore halved when a tail nears its target and set to zero when a tail is over it. It grows in
// steps while all tails are far below their targets. A decision waits until the effect of the
// previous one can show in the tails. O(1).
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>

namespace sequoiapier::jobs {

class PaceControl
{
public:
    struct Options
    {
        // Ratio of tail to target from which filling tasks are slowed down.
        double slowDownRatio = 0.85;
        double speedUpRatio = 0.6; // Ratio of tail to target up to which filling tasks are sped up.
        std::uint32_t increase = 10; // Increase of the percentage when filling tasks are sped up.
        std::uint32_t minPercent = 10; // Smallest percentage above zero.
        // A pace order takes 100 ms, and a tail covers the last half second.
        Duration settleTime = std::chrono::milliseconds(700);
    };

    PaceControl() = default;
    explicit PaceControl(Options options)
        : m_options(options)
    { }

    bool isDue(TimePoint now) const { return now >= m_nextAt; }
    void onTail(double tailRatio, TimePoint now);
    // Gives filling tasks their full share when no serving task is present.
    void onNoServingTasks() { m_percent = 100; }
    std::uint32_t percent() const { return m_percent; }

private:
    Options m_options;
    std::uint32_t m_percent = 100;
    TimePoint m_nextAt{};
};

} // namespace sequoiapier::jobs
