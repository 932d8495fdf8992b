// A state machine of four phases. All codes of a finish pass through truthful(), which holds the
// run state of the code against what may have happened. O(1).
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

bool RequestState::onBytesLeft()
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
        return onGivenUp(ResultCode::DeadlineExpired);
    case RequestEvent::ShutdownForced:
        return onGivenUp(ResultCode::ShuttingDown);
    default:
        return onAttemptOver(event);
    }
}

bool RequestState::onSecondBytesLeft()
{
    if (m_phase != RequestPhase::Sent || !m_options.isIdempotent)
        return false;
    m_mayHaveRun = true;
    return true;
}

RequestStep RequestState::onSecondAnswer()
{
    if (m_phase == RequestPhase::Finished)
        return {RequestAction::DropLate, ResultCode::Ok, UnitUse::None};
    if (m_phase == RequestPhase::Sent)
        return finish(ResultCode::Ok, UnitUse::Keep);
    const bool heldUnit = std::exchange(m_holdsUnit, false);
    return finish(ResultCode::Ok, heldUnit ? UnitUse::Return : UnitUse::None);
}

RequestStep RequestState::onAttemptOver(RequestEvent event)
{
    if (m_phase == RequestPhase::Queued)
        return {};
    if (event == RequestEvent::Answered) {
        m_holdsUnit = false;
        return finish(ResultCode::Ok, UnitUse::Return);
    }
    if (event == RequestEvent::RunnerRefused || m_phase == RequestPhase::Connecting)
        return onAttemptFailed(UnitUse::Return, true);
    m_mayHaveRun = true;
    return onAttemptFailed(UnitUse::ReturnAtLongest, m_options.isIdempotent);
}

RequestStep RequestState::onAttemptFailed(UnitUse unit, bool mayRetry)
{
    m_phase = RequestPhase::Queued;
    m_holdsUnit = false;
    if (mayRetry && m_attempts < m_options.maxAttempts)
        return {RequestAction::Retry, ResultCode::Ok, unit};
    return finish(truthful(ResultCode::NoUpstream), unit);
}

// The caller is told now, while a sent attempt goes on and keeps its unit.
RequestStep RequestState::onGivenUp(ResultCode notRunReason)
{
    const ResultCode code = truthful(notRunReason);
    if (m_phase == RequestPhase::Sent)
        return finish(code, UnitUse::Keep);
    const bool heldUnit = std::exchange(m_holdsUnit, false);
    return finish(code, heldUnit ? UnitUse::Return : UnitUse::None);
}

RequestStep RequestState::onRefused(ResultCode reason)
{
    assert(m_phase == RequestPhase::Queued);
    return finish(truthful(reason), UnitUse::None);
}

RequestStep RequestState::finish(ResultCode code, UnitUse unit)
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
        return {action, ResultCode::Ok, UnitUse::None};
    switch (event) {
    case RequestEvent::Answered:
    case RequestEvent::RunnerRefused:
        m_holdsUnit = false;
        return {action, ResultCode::Ok, UnitUse::Return};
    case RequestEvent::PartialAnswer:
    case RequestEvent::ConnectionRefused:
    case RequestEvent::ConnectionLost:
        m_holdsUnit = false;
        return {action, ResultCode::Ok, UnitUse::ReturnAtLongest};
    default:
        return {action, ResultCode::Ok, UnitUse::Keep};
    }
}

// `reason` if its run state is what is known, else the code nearest to it that is.
ResultCode RequestState::truthful(ResultCode reason) const
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
