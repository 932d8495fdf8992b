// Pause: a period in which a loop handled no events, as passed to Loop::onPause hooks. If processor
// time makes up most of the period, the loop was busy in one iteration; otherwise the host did not
// schedule the process.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

struct Pause
{
    Duration length{}; // delay of the heartbeat after its due time
    Duration processorTime{}; // spent by the loop's thread since the previous heartbeat
};

} // namespace sequoiapier
