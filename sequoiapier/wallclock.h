// The wall clock, for times that are stored across restarts or shown to people. It may step, so
// leases and deadlines use BootClock instead.
#pragma once

#include <chrono>
#include <cstdint>

namespace sequoiapier {

// Unix time in milliseconds.
inline std::int64_t wallMilliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace sequoiapier
