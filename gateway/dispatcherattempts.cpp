// The attempts of the dispatcher's requests: the last look is had right before the
// first byte leaves, and the end of an attempt becomes an event of the request. An idempotent
// request that is still without an answer after half of the time to its deadline gets a second
// attempt, on a fresh connection to another runner if there is one. O(1) each but for the choice of
// the runner.
#include "gateway/dispatcher.h"
#include "peer/lendableresources.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int StatusServerError = 500;
constexpr int StatusUnavailable = 503;
// A runner may echo it; an answer with another value is not the attempt's own.
constexpr const char *AttemptIdHeader = "x-attempt-id";
// A second attempt that finds no unit, runner or budget is tried again after this.
constexpr Duration SecondRetryInterval = std::chrono::milliseconds(20);

bool isRunnerRefusal(const HttpResponse &response)
{
    return response.status == StatusUnavailable
        && headerValue(response.headers, "x-run-state") == "not-run";
}

UpstreamOutcome upstreamOutcome(const HttpAnswer &answer)
{
    if (answer.outcome != HttpOutcome::Answered)
        return UpstreamOutcome::Failed;
    if (isRunnerRefusal(answer.response)) {
        const bool isBusy = headerValue(answer.response.headers, "x-runner-state") == "busy";
        return isBusy ? UpstreamOutcome::RefusedBusy : UpstreamOutcome::RefusedLeaving;
    }
    return answer.response.status >= StatusServerError ? UpstreamOutcome::Failed
                                                       : UpstreamOutcome::Answered;
}

RequestEvent requestEvent(const HttpAnswer &answer)
{
    switch (answer.outcome) {
    case HttpOutcome::NotSent:
        return RequestEvent::ConnectionRefused;
    case HttpOutcome::Lost:
        return answer.response.status != 0 ? RequestEvent::PartialAnswer
                                           : RequestEvent::ConnectionLost;
    case HttpOutcome::Answered:
        break;
    }
    return isRunnerRefusal(answer.response) ? RequestEvent::RunnerRefused : RequestEvent::Answered;
}

} // namespace

void Dispatcher::startAttempt(ServiceLane &lane, std::uint64_t id, TimePoint now)
{
    HeldRequest &held = m_held.at(id);
    held.units = takeUnits(lane, held.queued, now);
    held.runner = *lane.picker.pick(now, held.avoid);
    held.startedAt = now;
    held.isVetoed = false;
    held.isOverdue = false;
    held.state.onStarted();
    lane.picker.onStarted(held.runner);
    if (held.request.isIdempotent)
        startPatience(held, now);
    HttpCall call = makeCall(held, held.runner);
    call.connectionUse
        = held.request.isIdempotent ? ConnectionUse::ReuseProved : ConnectionUse::Fresh;
    call.maySend = [this, id] { return onBytesLeaving(id); };
    m_daemon.httpClient().call(
        std::move(call), [this, id](HttpAnswer answer) { onAttemptEnded(id, std::move(answer)); });
}

HttpCall Dispatcher::makeCall(const HeldRequest &held, const std::string &runner)
{
    const Endpoint endpoint = parseEndpoint(runner).value();
    const TimePoint now = BootClock::now();
    HttpCall call{.address = endpoint.address, .port = endpoint.port};
    // The connection is kept past the request's deadline, since only its end frees the slot.
    call.deadline = std::max(held.request.deadline, now + m_options.longestWork);
    call.request = {.method = "POST", .path = "/work", .body = held.exchange->request().body};
    call.request.headers
        = {{"x-deadline-ms", std::to_string(remainingMilliseconds(held.request.deadline, now))},
           {"x-service", held.service},
           {AttemptIdHeader, std::to_string(++m_attemptCount)}};
    call.echoedHeader = AttemptIdHeader;
    if (!held.request.requestId.empty())
        call.request.headers.push_back({"x-request-id", held.request.requestId});
    return call;
}

// The last look before a byte is written: leases, configuration and key must still stand.
bool Dispatcher::maySend(const HeldRequest &held, const AttemptUnits &units)
{
    const TimePoint now = BootClock::now();
    for (const std::optional<LoanKey> &key : {units.slot, units.ceiling}) {
        const Borrower *borrower = key ? m_loans.find(*key) : nullptr;
        if (key && (borrower == nullptr || !borrower->isLeased(now)))
            return false;
    }
    return (!m_options.mayTakeWork || m_options.mayTakeWork()) && isKeyValid(held);
}

bool Dispatcher::onBytesLeaving(std::uint64_t id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return false;
    HeldRequest &held = found->second;
    held.isVetoed = !maySend(held, held.units);
    return !held.isVetoed && held.state.onBytesLeft();
}

void Dispatcher::onAttemptEnded(std::uint64_t id, HttpAnswer answer)
{
    HeldRequest &held = m_held.at(id);
    ServiceLane &lane = m_lanes.at(held.service);
    const TimePoint now = BootClock::now();
    UpstreamOutcome outcome = upstreamOutcome(answer);
    if (outcome == UpstreamOutcome::Failed && (held.isVetoed || held.isOverdue))
        outcome = UpstreamOutcome::Unjudged;
    lane.picker.onEnded(held.runner, outcome, now);
    TeamQueues &queues = lane.queues.at(held.request.queue);
    if (answer.outcome == HttpOutcome::Answered && !isRunnerRefusal(answer.response)) {
        queues.onFinished(held.queued, now - held.startedAt, now);
        lane.retryBudget.onSuccess();
    } else if (answer.outcome != HttpOutcome::Lost) {
        queues.onNotRun(held.queued);
    }
    held.avoid = held.isVetoed ? std::string() : held.runner;
    onEvent(id, requestEvent(answer), &answer.response);
    dispatch(lane);
}

void Dispatcher::reportOverdue(HeldRequest &held)
{
    held.isOverdue = true;
    m_lanes.at(held.service).picker.onOverdue(held.runner, BootClock::now());
}

void Dispatcher::startPatience(HeldRequest &held, TimePoint now)
{
    const std::uint64_t id = held.queued.id;
    held.patienceTimer
        = std::make_unique<Timer>(m_daemon.loop(), [this, id] { onPatienceOver(id); });
    held.patienceTimer->startAt(now + (held.request.deadline - now) / 2);
}

void Dispatcher::onPatienceOver(std::uint64_t id)
{
    HeldRequest &held = m_held.at(id);
    if (held.state.phase() != RequestPhase::Sent || held.second)
        return;
    ServiceLane &lane = m_lanes.at(held.service);
    const TimePoint now = BootClock::now();
    const std::optional<std::string_view> runner = lane.picker.pick(now, held.runner);
    if (runner && maySend(held, {}) && mayStart(lane, held.queued.team, held.queued.isUrgent, now)
        && lane.retryBudget.tryTake(now)) {
        startSecond(lane, id, std::string(*runner), now);
    } else {
        held.patienceTimer->startAt(now + SecondRetryInterval);
    }
}

void Dispatcher::startSecond(ServiceLane &lane, std::uint64_t id, std::string runner, TimePoint now)
{
    HeldRequest &held = m_held.at(id);
    held.second
        = SecondAttempt{.runner = std::move(runner), .units = takeUnits(lane, held.queued, now)};
    lane.picker.onStarted(held.second->runner);
    HttpCall call = makeCall(held, held.second->runner);
    call.connectionUse = ConnectionUse::Fresh;
    call.maySend = [this, id] { return onSecondBytesLeaving(id); };
    m_daemon.httpClient().call(
        std::move(call), [this, id](HttpAnswer answer) { onSecondEnded(id, std::move(answer)); });
}

bool Dispatcher::onSecondBytesLeaving(std::uint64_t id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return false;
    HeldRequest &held = found->second;
    return maySend(held, held.second->units) && held.state.onSecondBytesLeft();
}

void Dispatcher::onSecondEnded(std::uint64_t id, HttpAnswer answer)
{
    HeldRequest &held = m_held.at(id);
    ServiceLane &lane = m_lanes.at(held.service);
    const TimePoint now = BootClock::now();
    const UpstreamOutcome outcome = upstreamOutcome(answer);
    SecondAttempt second = *std::exchange(held.second, std::nullopt);
    lane.picker.onEnded(second.runner,
                        outcome == UpstreamOutcome::Failed ? UpstreamOutcome::Unjudged : outcome,
                        now);
    const bool isLost = answer.outcome == HttpOutcome::Lost;
    releaseUnits(second.units, isLost ? now + m_options.longestWork : now);
    if (answer.outcome == HttpOutcome::Answered && !isRunnerRefusal(answer.response)) {
        lane.retryBudget.onSuccess();
        const bool wasQueued = held.state.phase() == RequestPhase::Queued;
        if (held.state.phase() == RequestPhase::Sent)
            reportOverdue(held);
        const RequestStep step = held.state.onSecondAnswer();
        if (wasQueued)
            lane.queues.at(held.request.queue).remove(id);
        apply(id, step, &answer.response);
    } else {
        if (held.state.phase() == RequestPhase::Sent)
            held.patienceTimer->startAt(now + SecondRetryInterval);
        forgetIfDone(id);
    }
    dispatch(lane);
}

} // namespace sequoiapier
