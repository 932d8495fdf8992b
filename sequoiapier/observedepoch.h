#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>

namespace sequoiapier {

// An epoch of a resource, and when a member first saw the resource's row with it. The owners of
// earlier epochs owned the resource no more by then.
struct ObservedEpoch
{
    std::uint64_t epoch = 0;
    TimePoint seenAt{};
};

} // namespace sequoiapier
