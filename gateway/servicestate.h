// ServiceState: a gateway's state of one service: its runners, retry budget and queues.
#pragma once

#include "gateway/retrybudget.h"
#include "gateway/teamqueues.h"
#include "gateway/upstreampicker.h"
#include "sequoiapier/configuration.h"

#include <map>
#include <string>

namespace sequoiapier {

struct ServiceState
{
    ServiceState(std::uint64_t seed)
        : picker({}, seed)
        , retryBudget({})
    { }

    ServiceConfig config;
    UpstreamPicker picker;
    RetryBudget retryBudget;
    std::map<std::string, TeamQueues, std::less<>> queues; // by queue name
    std::string lastQueue; // name of the queue served last, for round robin
};

} // namespace sequoiapier
