// Weighted max-min shares of a bounded number of units.
//
//   std::vector<ShareDemand> demands {{.wanted = 10, .weight = 2}, {.wanted = 3, .weight = 1}};
//   std::vector<std::int64_t> shares = maxMinShare(8, demands); // {6, 2}
//
// No one gets more than it wants, and units that one does not want go to the others. Units are
// whole; where they don't divide evenly, the next one goes to the demand whose share per weight
// stays the lowest with it, on a tie to the earlier one.
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

// One share per demand, in their order. O(n log n) time, O(n) memory.
std::vector<std::int64_t> maxMinShare(std::int64_t capacity, std::span<const ShareDemand> demands);

} // namespace sequoiapier
