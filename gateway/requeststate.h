// RequestState: the state machine of one request, which decides what its caller is told.
//
//   RequestState state({.isIdempotent = false});
//   state.onStarted();                    // the request is handed to a connection
//   if (!state.tryBeginSend()) return;    // from here on the runner may have it
//   RequestStep step = state.onEvent(RequestEvent::ConnectionLost);
//   if (step.action == RequestAction::Retry && !budget.tryTake(now))
//       step = state.onRefused(RetryBudgetEmpty);
//   if (step.action == RequestAction::Finish) reply(step.code);
//
// Exactly one step of each request has the action Finish. Its code says "not run" only if, for
// every attempt, no byte can have been sent or the runner reported that it did not run the attempt.
// A step also says what happens to the units (slot, team ceiling) that the attempt holds.
#pragma once

#include "sequoiapier/resultcode.h"

#include <cstdint>

namespace sequoiapier {

enum class RequestPhase : std::uint8_t {
    Queued, // waiting for the first attempt or for another one
    Connecting, // handed to a connection; no byte can have been sent
    Sent, // bytes may have been sent
    Finished, // the caller was answered
};

enum class RequestEvent : std::uint8_t {
    Answered, // the current attempt got a complete answer
    PartialAnswer, // the answer is incomplete or malformed
    ConnectionRefused, // there was no connection, so certainly no byte was sent
    ConnectionLost, // the connection ended before any byte of the answer
    RunnerRefused, // the runner reported that it did not run the request
    DeadlinePassed,
    ShutdownForced, // the drain time is over, or the drain starts while the request is queued
    CallerGone, // the caller disconnected; the code is only logged
};

enum class RequestAction : std::uint8_t {
    None, // keep waiting
    Retry, // a retry is allowed: queue the request again, or call onRefused()
    Finish, // answer the caller with `code`
    DropLate, // an answer arrived after Finish: count it and drop it
};

enum class UnitAction : std::uint8_t {
    None, // the attempt held no unit, or returned it earlier
    Keep, // the work may still run, and another event will report its end
    Return, // the work is known to have ended, or it never started
    ReturnAfterLongestWork, // no event will report the end: return it after the longest work time
};

struct RequestStep
{
    RequestAction action = RequestAction::None;
    ResultCode code = ResultCode::Ok; // valid with Finish
    UnitAction unit = UnitAction::None;
};

class RequestState
{
public:
    struct Options
    {
        bool isIdempotent = false;
        unsigned maxAttempts = 3;
    };

    explicit RequestState(Options options);

    // Call only while Queued: an attempt starts and holds a unit.
    void onStarted();
    // Call while Connecting, immediately before the first byte is sent. If it returns false, the
    // request is finished and no byte may be sent.
    bool tryBeginSend();
    RequestStep onEvent(RequestEvent event);
    // Call immediately before the first byte of a second attempt of an idempotent request is sent.
    // The second attempt runs beside the current one and holds a unit of its own. If it returns
    // false, no byte may be sent.
    bool tryBeginSecondSend();
    // Call when the second attempt got a complete answer. The unit of the returned step is that of
    // the current attempt.
    RequestStep onSecondAnswer();
    // Call only while Queued: the queue, the retry budget or another limit refused the request.
    RequestStep onRefused(ResultCode reason);

    RequestPhase phase() const { return m_phase; }
    unsigned attempts() const { return m_attempts; }
    // Whether an attempt without a known end may have run.
    bool mayHaveRun() const { return m_mayHaveRun || m_phase == RequestPhase::Sent; }

private:
    RequestStep finish(ResultCode code, UnitAction unit);
    RequestStep onAttemptOver(RequestEvent event);
    RequestStep onAttemptFailed(UnitAction unit, bool mayRetry);
    RequestStep onAbandoned(ResultCode notRunReason);
    RequestStep onLate(RequestEvent event);
    ResultCode codeForRunState(ResultCode reason) const;

    Options m_options;
    RequestPhase m_phase = RequestPhase::Queued;
    unsigned m_attempts = 0;
    bool m_mayHaveRun = false; // whether an earlier attempt may have run
    bool m_holdsUnit = false; // whether the current attempt holds a unit
};

} // namespace sequoiapier
