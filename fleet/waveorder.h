// WaveOrder: an operator's request to maintain a set of hosts within a given time.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiapier {

struct WaveOrder
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    Duration duration{}; // time from the request until all hosts have been maintained
    std::uint32_t maxOut = 1; // limit of hosts of the wave that are under maintenance at once
};

} // namespace sequoiapier
