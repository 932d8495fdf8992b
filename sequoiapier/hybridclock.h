// HybridClock: hybrid logical time (wall clock plus counter) for the time line.
//
//   event.time = clock.tick();          // a local event or a send
//   clock.observe(message.time);        // on receipt, before tick()
#pragma once

#include "sequoiapier/event.h"

#include <functional>

namespace sequoiapier {

class HybridClock
{
public:
    // Wall clock in microseconds since the Unix epoch.
    using WallClock = std::function<std::int64_t()>;

    explicit HybridClock(WallClock wall);

    // The time of a new local event; strictly greater than all before it.
    HybridTime tick();
    // Moves the clock to at least `remote`.
    void observe(HybridTime remote);

private:
    WallClock m_wall;
    HybridTime m_last;
};

} // namespace sequoiapier
