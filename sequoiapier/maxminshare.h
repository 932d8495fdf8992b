// Weighted max-min fair shares of a bounded number of units.
//
//   std::vector<ShareDemand> demands {{.wanted = 10, .weight = 2}, {.wanted = 3, .weight = 1}};
//   std::vector<std::int64_t> shares = maxMinShare(8, demands); // {6, 2}
//
// No share exceeds its demand, and units that one demand does not need go to the others. Units are
// whole. Where they don't divide evenly, each remaining unit goes to the demand whose share per
// weight is the lowest after receiving it, and on a tie to the earlier demand.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace sequoiapier {

struct ShareDemand
{
    std::int64_t wanted = 0; // units; negative counts as 0
    std::uint32_t weight = 1; // 0 counts as 1
};

// Returns one share per demand, in the order of `demands`. O(n log n) time, O(n) memory.
std::vector<std::int64_t> maxMinShare(std::int64_t capacity, std::span<const ShareDemand> demands);

} // namespace sequoiapier
