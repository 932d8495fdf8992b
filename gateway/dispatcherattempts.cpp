// The attempts of the dispatcher's requests. Leases, configuration and key are checked right before
// the first byte is sent, and the end of an attempt becomes an event of the request. An idempotent
// request that has no answer after half of the time to its deadline gets a second attempt, on a
// fresh connection to another runner if there is one. Each step costs O(1) apart from the choice of
// the runner.
#include "gateway/dispatcher.h"
#include "peer/lendableresources.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int StatusServerError = 500;
constexpr int StatusUnavailable = 503;
// A runner may echo this header. An answer with another value belongs to another attempt.
constexpr const char *AttemptIdHeader = "x-attempt-id";
// Time until the next try of a second attempt that found no unit, runner or retry budget.
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

void Dispatcher::startAttempt(ServiceState &serviceState, std::uint64_t id, TimePoint now)
{
    HeldRequest &held = m_held.at(id);
    held.units = takeUnits(serviceState, held.queued, now);
    held.runner = *serviceState.picker.pick(now, held.avoid);
    held.startedAt = now;
    held.isSendDenied = false;
    held.isOverdue = false;
    held.state.onStarted();
    serviceState.picker.onStarted(held.runner);
    if (held.request.isIdempotent)
        startSecondAttemptTimer(held, now);
    HttpCall call = makeCall(held, held.runner);
    call.connectionUse
        = held.request.isIdempotent ? ConnectionUse::ReuseProved : ConnectionUse::Fresh;
    call.maySend = [this, id] { return checkBeforeSend(id); };
    m_daemon.httpClient().call(
        std::move(call), [this, id](HttpAnswer answer) { onAttemptEnded(id, std::move(answer)); });
}

HttpCall Dispatcher::makeCall(const HeldRequest &held, const std::string &runner)
{
    const Endpoint endpoint = parseEndpoint(runner).value();
    const TimePoint now = BootClock::now();
    HttpCall call{.address = endpoint.address, .port = endpoint.port};
    // The connection stays open past the request's deadline, since only its end frees the slot.
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

// Checks right before the first byte is written that the leases, configuration and key are valid.
bool Dispatcher::maySend(const HeldRequest &held, const AttemptUnits &units)
{
    const TimePoint now = BootClock::now();
    for (const std::optional<LoanKey> &key : {units.slot, units.ceiling}) {
        const Borrower *borrower = key ? m_loans.find(*key) : nullptr;
        if (key && (borrower == nullptr || !borrower->isLeased(now)))
            return false;
    }
    return (!m_options.mayStartRequests || m_options.mayStartRequests()) && isKeyValid(held);
}

bool Dispatcher::checkBeforeSend(std::uint64_t id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return false;
    HeldRequest &held = found->second;
    held.isSendDenied = !maySend(held, held.units);
    return !held.isSendDenied && held.state.tryBeginSend();
}

void Dispatcher::onAttemptEnded(std::uint64_t id, HttpAnswer answer)
{
    HeldRequest &held = m_held.at(id);
    ServiceState &serviceState = m_services.at(held.service);
    const TimePoint now = BootClock::now();
    UpstreamOutcome outcome = upstreamOutcome(answer);
    if (outcome == UpstreamOutcome::Failed && (held.isSendDenied || held.isOverdue))
        outcome = UpstreamOutcome::Inconclusive;
    serviceState.picker.onEnded(held.runner, outcome, now);
    TeamQueues &queues = serviceState.queues.at(held.request.queue);
    if (answer.outcome == HttpOutcome::Answered && !isRunnerRefusal(answer.response)) {
        queues.onFinished(held.queued, now - held.startedAt, now);
        serviceState.retryBudget.onSuccess();
    } else if (answer.outcome != HttpOutcome::Lost) {
        queues.onNotRun(held.queued);
    }
    held.avoid = held.isSendDenied ? std::string() : held.runner;
    onEvent(id, requestEvent(answer), &answer.response);
    dispatch(serviceState);
}

void Dispatcher::reportOverdue(HeldRequest &held)
{
    held.isOverdue = true;
    m_services.at(held.service).picker.onOverdue(held.runner, BootClock::now());
}

void Dispatcher::startSecondAttemptTimer(HeldRequest &held, TimePoint now)
{
    const std::uint64_t id = held.queued.id;
    held.secondAttemptTimer
        = std::make_unique<Timer>(m_daemon.loop(), [this, id] { onSecondAttemptDue(id); });
    held.secondAttemptTimer->startAt(now + (held.request.deadline - now) / 2);
}

void Dispatcher::onSecondAttemptDue(std::uint64_t id)
{
    HeldRequest &held = m_held.at(id);
    if (held.state.phase() != RequestPhase::Sent || held.second)
        return;
    ServiceState &serviceState = m_services.at(held.service);
    const TimePoint now = BootClock::now();
    const std::optional<std::string_view> runner = serviceState.picker.pick(now, held.runner);
    if (runner && maySend(held, {})
        && mayStart(serviceState, held.queued.team, held.queued.isUrgent, now)
        && serviceState.retryBudget.tryTake(now)) {
        startSecondAttempt(serviceState, id, std::string(*runner), now);
    } else {
        held.secondAttemptTimer->startAt(now + SecondRetryInterval);
    }
}

void Dispatcher::startSecondAttempt(ServiceState &serviceState, std::uint64_t id,
                                    std::string runner, TimePoint now)
{
    HeldRequest &held = m_held.at(id);
    held.second = SecondAttempt{.runner = std::move(runner),
                                .units = takeUnits(serviceState, held.queued, now)};
    serviceState.picker.onStarted(held.second->runner);
    HttpCall call = makeCall(held, held.second->runner);
    call.connectionUse = ConnectionUse::Fresh;
    call.maySend = [this, id] { return checkBeforeSecondSend(id); };
    m_daemon.httpClient().call(std::move(call), [this, id](HttpAnswer answer) {
        onSecondAttemptEnded(id, std::move(answer));
    });
}

bool Dispatcher::checkBeforeSecondSend(std::uint64_t id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return false;
    HeldRequest &held = found->second;
    return maySend(held, held.second->units) && held.state.tryBeginSecondSend();
}

void Dispatcher::onSecondAttemptEnded(std::uint64_t id, HttpAnswer answer)
{
    HeldRequest &held = m_held.at(id);
    ServiceState &serviceState = m_services.at(held.service);
    const TimePoint now = BootClock::now();
    const UpstreamOutcome outcome = upstreamOutcome(answer);
    SecondAttempt second = *std::exchange(held.second, std::nullopt);
    serviceState.picker.onEnded(
        second.runner, outcome == UpstreamOutcome::Failed ? UpstreamOutcome::Inconclusive : outcome,
        now);
    const bool isLost = answer.outcome == HttpOutcome::Lost;
    releaseUnits(second.units, isLost ? now + m_options.longestWork : now);
    if (answer.outcome == HttpOutcome::Answered && !isRunnerRefusal(answer.response)) {
        serviceState.retryBudget.onSuccess();
        const bool wasQueued = held.state.phase() == RequestPhase::Queued;
        if (held.state.phase() == RequestPhase::Sent)
            reportOverdue(held);
        const RequestStep step = held.state.onSecondAnswer();
        if (wasQueued)
            serviceState.queues.at(held.request.queue).remove(id);
        apply(id, step, &answer.response);
    } else {
        if (held.state.phase() == RequestPhase::Sent)
            held.secondAttemptTimer->startAt(now + SecondRetryInterval);
        eraseIfDone(id);
    }
    dispatch(serviceState);
}

} // namespace sequoiapier
