// RequestState: what a caller is told about one request, whatever happens to it.
//
//   RequestState state({.isIdempotent = false});
//   state.onStarted();                    // handed to a connection
//   if (!state.onBytesLeft()) return;     // from here on the runner may have it
//   RequestStep step = state.onEvent(RequestEvent::ConnectionLost);
//   if (step.action == RequestAction::Retry && !budget.tryTake(now))
//       step = state.onRefused(RetryBudgetEmpty);
//   if (step.action == RequestAction::Finish) reply(step.code);
//
// Exactly one step of a request's life has the action Finish. Its code says "not run" only if no
// byte of any attempt can have left, or the runner itself said of each such attempt that it did not
// run it. A step also says what becomes of the unit (slot, team ceiling) that the attempt holds.
#pragma once

#include "sequoiapier/resultcode.h"

#include <cstdint>

namespace sequoiapier {

enum class RequestPhase : std::uint8_t {
    Queued, // waiting, or waiting again for another attempt
    Connecting, // handed to a connection; no byte can have left
    Sent, // bytes may have left
    Finished, // the caller was told
};

enum class RequestEvent : std::uint8_t {
    Answered, // a whole answer to the current attempt
    PartialAnswer, // the answer broke off or is malformed
    ConnectionRefused, // no connection; certainly no byte left
    ConnectionLost, // closed or reset before any byte of the answer
    RunnerRefused, // the runner said that it did not run it
    DeadlinePassed,
    ShutdownForced, // the drain's time is over, or the request is still queued when it starts
    CallerGone, // nobody waits for the answer; the code is for the log only
};

enum class RequestAction : std::uint8_t {
    None, // go on waiting
    Retry, // allowed: queue it again, or call onRefused()
    Finish, // tell the caller `code`
    DropLate, // an answer came after Finish: count it and drop it
};

enum class UnitUse : std::uint8_t {
    None, // the attempt held no unit, or it was already given back
    Keep, // the work may still run; more will be heard of it
    Return, // the work has shown its end, or never began
    ReturnAtLongest, // its end can't be shown any more: only after the longest work time
};

struct RequestStep
{
    RequestAction action = RequestAction::None;
    ResultCode code = ResultCode::Ok; // with Finish
    UnitUse unit = UnitUse::None;
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

    // Queued only: an attempt begins and holds a unit.
    void onStarted();
    // Connecting only, immediately before the first byte. False: it is finished and none may leave.
    bool onBytesLeft();
    RequestStep onEvent(RequestEvent event);
    // A second attempt, beside the current one, of an idempotent request; it holds a unit of its
    // own. Immediately before its first byte; false: none may leave.
    bool onSecondBytesLeft();
    // A whole answer to it. The unit of the step is that of the current attempt.
    RequestStep onSecondAnswer();
    // Queued only: it can't go on, as the queue, the retry budget or another bound refused it.
    RequestStep onRefused(ResultCode reason);

    RequestPhase phase() const { return m_phase; }
    unsigned attempts() const { return m_attempts; }
    // Whether an attempt may have run of which no end was heard.
    bool mayHaveRun() const { return m_mayHaveRun || m_phase == RequestPhase::Sent; }

private:
    RequestStep finish(ResultCode code, UnitUse unit);
    RequestStep onAttemptOver(RequestEvent event);
    RequestStep onAttemptFailed(UnitUse unit, bool mayRetry);
    RequestStep onGivenUp(ResultCode notRunReason);
    RequestStep onLate(RequestEvent event);
    ResultCode truthful(ResultCode reason) const;

    Options m_options;
    RequestPhase m_phase = RequestPhase::Queued;
    unsigned m_attempts = 0;
    bool m_mayHaveRun = false; // an earlier attempt
    bool m_holdsUnit = false; // the current attempt
};

} // namespace sequoiapier
