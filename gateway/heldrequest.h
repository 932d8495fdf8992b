// HeldRequest: one caller's request for as long as the gateway has anything to do with it.
//
// It outlives its answer when the deadline passes while a runner may still work on it: its units
// stay taken until the end of that work is shown.
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
    std::optional<RequestDigest> digest; // if it is recorded against repeats
    RequestState state;
    std::unique_ptr<Timer> deadlineTimer;
    std::string runner; // of the current attempt
    std::string avoid; // runner of the failed attempt
    TimePoint startedAt; // of the current attempt
    AttemptUnits units; // of the current attempt
    bool isVetoed = false; // the last look before a byte was written forbade the current attempt
    bool isOverdue = false; // the runner of the current attempt was reported as not answering
    std::unique_ptr<Timer> patienceTimer; // to the second attempt; idempotent requests only
    std::optional<SecondAttempt> second;
};

} // namespace sequoiapier
