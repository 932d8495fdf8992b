#include "sequoiapier/bootclock.h"

#include <algorithm>
#include <ctime>

namespace sequoiapier {

TimePoint BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(duration(std::int64_t(time.tv_sec) * 1'000'000 + time.tv_nsec / 1'000));
}

std::int64_t remainingMilliseconds(TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max<std::int64_t>(0, left.count());
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count())
        + " ms";
}

} // namespace sequoiapier
