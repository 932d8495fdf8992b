// How long a pool's owner keeps a runner empty after a request to evacuate it.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

// The owner starts no task on the runner for this long after the call. A caller that needs the
// runner empty for longer repeats the call.
inline constexpr Duration EvacuationDuration = std::chrono::milliseconds(1'500);

} // namespace sequoiapier
