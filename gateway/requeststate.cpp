// A state machine of four phases. Every failure code passes through codeForRunState(), which
// replaces a code whose run state contradicts what may have happened. All operations are O(1).
#include "gateway/requeststate.h"

#include <cassert>
#include <utility>

namespace sequoiapier {

RequestState::RequestState(Options options)
    : m_options(options)
{ }

void RequestState::onStarted()
{
    assert(m_phase == RequestPhase::Queued);
    m_phase = RequestPhase::Connecting;
    m_holdsUnit = true;
    ++m_attempts;
}

bool RequestState::tryBeginSend()
{
    if (m_phase != RequestPhase::Connecting)
        return false;
    m_phase = RequestPhase::Sent;
    return true;
}

RequestStep RequestState::onEvent(RequestEvent event)
{
    if (m_phase == RequestPhase::Finished)
        return onLate(event);
    switch (event) {
    case RequestEvent::DeadlinePassed:
    case RequestEvent::CallerGone:
        return onAbandoned(ResultCode::DeadlineExpired);
    case RequestEvent::ShutdownForced:
        return onAbandoned(ResultCode::ShuttingDown);
    default:
        return onAttemptOver(event);
    }
}

bool RequestState::tryBeginSecondSend()
{
    if (m_phase != RequestPhase::Sent || !m_options.isIdempotent)
        return false;
    m_mayHaveRun = true;
    return true;
}

RequestStep RequestState::onSecondAnswer()
{
    if (m_phase == RequestPhase::Finished)
        return {RequestAction::DropLate, ResultCode::Ok, UnitAction::None};
    if (m_phase == RequestPhase::Sent)
        return finish(ResultCode::Ok, UnitAction::Keep);
    const bool heldUnit = std::exchange(m_holdsUnit, false);
    return finish(ResultCode::Ok, heldUnit ? UnitAction::Return : UnitAction::None);
}

RequestStep RequestState::onAttemptOver(RequestEvent event)
{
    if (m_phase == RequestPhase::Queued)
        return {};
    if (event == RequestEvent::Answered) {
        m_holdsUnit = false;
        return finish(ResultCode::Ok, UnitAction::Return);
    }
    if (event == RequestEvent::RunnerRefused || m_phase == RequestPhase::Connecting)
        return onAttemptFailed(UnitAction::Return, true);
    m_mayHaveRun = true;
    return onAttemptFailed(UnitAction::ReturnAfterLongestWork, m_options.isIdempotent);
}

RequestStep RequestState::onAttemptFailed(UnitAction unit, bool mayRetry)
{
    m_phase = RequestPhase::Queued;
    m_holdsUnit = false;
    if (mayRetry && m_attempts < m_options.maxAttempts)
        return {RequestAction::Retry, ResultCode::Ok, unit};
    return finish(codeForRunState(ResultCode::NoUpstream), unit);
}

// Answers the caller now. An attempt that was sent continues and keeps its unit.
RequestStep RequestState::onAbandoned(ResultCode notRunReason)
{
    const ResultCode code = codeForRunState(notRunReason);
    if (m_phase == RequestPhase::Sent)
        return finish(code, UnitAction::Keep);
    const bool heldUnit = std::exchange(m_holdsUnit, false);
    return finish(code, heldUnit ? UnitAction::Return : UnitAction::None);
}

RequestStep RequestState::onRefused(ResultCode reason)
{
    assert(m_phase == RequestPhase::Queued);
    return finish(codeForRunState(reason), UnitAction::None);
}

RequestStep RequestState::finish(ResultCode code, UnitAction unit)
{
    m_mayHaveRun = mayHaveRun();
    m_phase = RequestPhase::Finished;
    return {RequestAction::Finish, code, unit};
}

RequestStep RequestState::onLate(RequestEvent event)
{
    const bool isAnswer = event == RequestEvent::Answered;
    const RequestAction action = isAnswer ? RequestAction::DropLate : RequestAction::None;
    if (!m_holdsUnit)
        return {action, ResultCode::Ok, UnitAction::None};
    switch (event) {
    case RequestEvent::Answered:
    case RequestEvent::RunnerRefused:
        m_holdsUnit = false;
        return {action, ResultCode::Ok, UnitAction::Return};
    case RequestEvent::PartialAnswer:
    case RequestEvent::ConnectionRefused:
    case RequestEvent::ConnectionLost:
        m_holdsUnit = false;
        return {action, ResultCode::Ok, UnitAction::ReturnAfterLongestWork};
    default:
        return {action, ResultCode::Ok, UnitAction::Keep};
    }
}

// Returns `reason` if its run state is the known one, else the closest code with that run state.
ResultCode RequestState::codeForRunState(ResultCode reason) const
{
    const RunState known = mayHaveRun() ? RunState::Unknown : RunState::NotRun;
    if (resultInfo(reason).runState == known)
        return reason;
    if (known == RunState::NotRun)
        return ResultCode::NoUpstream;
    const bool isLate
        = reason == ResultCode::DeadlineExpired || reason == ResultCode::DeadlineTooClose;
    return isLate ? ResultCode::OutcomeUnknown : ResultCode::UpstreamLost;
}

} // namespace sequoiapier
