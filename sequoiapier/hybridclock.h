// HybridClock: a hybrid logical clock (wall clock plus counter) that orders the timeline of
// all processes.
//
//   event.time = clock.tick();          // a local event or a send
//   clock.observe(message.time);        // on receipt of a message, before tick()
#pragma once

#include "sequoiapier/event.h"

#include <functional>

namespace sequoiapier {

class HybridClock
{
public:
    // Returns the wall clock time in microseconds since the Unix epoch.
    using WallClock = std::function<std::int64_t()>;

    explicit HybridClock(WallClock wall);

    // Returns the time of a new local event, strictly greater than every time returned before.
    HybridTime tick();
    // Advances the clock to at least `remote`, the time carried by a received message.
    void observe(HybridTime remote);

private:
    WallClock m_wall;
    HybridTime m_last;
};

} // namespace sequoiapier
