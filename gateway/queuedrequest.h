// QueuedRequest: what TeamQueues knows of a request that waits for a runner.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/resultcode.h"

#include <cstdint>
#include <string>

namespace sequoiapier {

struct QueuedRequest
{
    std::uint64_t id = 0; // the gateway's own; never two waiting requests with the same
    std::string team; // empty on queues open to all
    TimePoint arrival;
    TimePoint deadline;
    bool isUrgent = false;
    std::size_t bytes = 0;
    Duration charged{0}; // slot time charged to the team; set by TeamQueues::pop()
};

// A request that left its queue unserved. The code's run state is NotRun.
struct RefusedRequest
{
    QueuedRequest request;
    ResultCode code = ResultCode::Overloaded;
};

} // namespace sequoiapier
