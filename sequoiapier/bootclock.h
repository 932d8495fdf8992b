// BootClock: the clock all deadlines are stored on. It counts suspension and never steps.
//
//   TimePoint deadline = BootClock::now() + std::chrono::milliseconds(50);
//
// Only its rate is trusted between processes: a TimePoint is never sent over the wire. Messages
// carry the remaining time instead. Library classes take `now` as an argument, so that tests drive
// them under virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sequoiapier {

// Monotonic clock in microseconds since boot, including time asleep (CLOCK_BOOTTIME).
struct BootClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

// Time from `now` until `deadline` in whole milliseconds, never negative. For the wire.
std::int64_t remainingMilliseconds(TimePoint deadline, TimePoint now);

// As "250 ms", in whole milliseconds. For log lines.
std::string inMilliseconds(Duration duration);

} // namespace sequoiapier
