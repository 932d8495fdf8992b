// BootClock: the monotonic clock of all deadlines. It includes time suspended and never steps.
//
//   TimePoint deadline = BootClock::now() + std::chrono::milliseconds(50);
//
// Processes share only the rate of this clock, not its origin: a TimePoint is never sent over the
// wire, and messages carry the remaining time instead. Library classes take `now` as an argument,
// so that tests can run them under virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sequoiapier {

// Microseconds since boot, including time suspended (CLOCK_BOOTTIME).
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

// Time from `now` until `deadline` in whole milliseconds, never negative, as sent in messages.
std::int64_t remainingMilliseconds(TimePoint deadline, TimePoint now);

// Formats `duration` for log lines in whole milliseconds, such as "250 ms".
std::string formatMilliseconds(Duration duration);

} // namespace sequoiapier
