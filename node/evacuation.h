// What a pool's owner promises when it is asked to empty a runner.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

// The runner gets no task for that long after the call; who needs it empty for longer calls again.
inline constexpr Duration EvacuationTerm = std::chrono::milliseconds(1'500);

} // namespace sequoiapier
