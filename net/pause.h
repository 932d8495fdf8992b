// Pause: a time in which a loop handled no event, told to Loop::onPause. A loop that was on the
// processor for most of it was busy with one turn; otherwise the host did not run it.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

struct Pause
{
    Duration length{}; // past the time at which the loop was due
    Duration processorTime{}; // of the loop's thread, from its last heartbeat to the end
};

} // namespace sequoiapier
