// HeldRequest: the state of one caller's request, from its arrival until it is answered and all of
// its units are released.
//
// It outlives its answer when the deadline passes while a runner may still work on the request: its
// units stay taken until that work is known to have ended.
#pragma once

#include "gateway/callerrequest.h"
#include "gateway/duplicatefilter.h"
#include "gateway/queuedrequest.h"
#include "gateway/requeststate.h"
#include "gateway/secondattempt.h"
#include "net/httpexchange.h"
#include "net/timer.h"

#include <memory>
#include <optional>

namespace sequoiapier {

struct HeldRequest
{
    std::shared_ptr<HttpExchange> exchange;
    CallerRequest request;
    QueuedRequest queued;
    std::string service;
    std::string keyDigest; // empty without a key
    std::optional<RequestDigest> digest; // set if the request is recorded to detect duplicates
    RequestState state;
    std::unique_ptr<Timer> deadlineTimer;
    std::string runner; // endpoint of the current attempt's runner
    std::string avoid; // endpoint of the failed attempt's runner
    TimePoint startedAt; // start of the current attempt
    AttemptUnits units; // units of the current attempt
    // Whether the check right before the first byte refused to send the current attempt.
    bool isSendDenied = false;
    // Whether the runner of the current attempt was reported as not answering in time.
    bool isOverdue = false;
    // Starts the second attempt; set for idempotent requests only.
    std::unique_ptr<Timer> secondAttemptTimer;
    std::optional<SecondAttempt> second;
};

} // namespace sequoiapier
