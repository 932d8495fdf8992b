// QueuedRequest: the properties by which TeamQueues orders and refuses a waiting request.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/resultcode.h"

#include <cstdint>
#include <string>

namespace sequoiapier {

struct QueuedRequest
{
    std::uint64_t id = 0; // unique among the waiting requests of the gateway
    std::string team; // empty for a request without a key on an open queue
    TimePoint arrival;
    TimePoint deadline;
    bool isUrgent = false;
    std::size_t bytes = 0;
    Duration charged{0}; // slot time charged to the team; set by TeamQueues::pop()
};

// A request that left its queue without being started. The run state of `code` is NotRun.
struct RefusedRequest
{
    QueuedRequest request;
    ResultCode code = ResultCode::Overloaded;
};

} // namespace sequoiapier
