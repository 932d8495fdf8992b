// Every change that can let a request start (arrival, grant, end of an attempt, tick) calls
// dispatch() for its service, which starts requests until no request, runner or unit is left.
// A start costs O(log n) in the queue plus O(teams) for the units.
#include "gateway/dispatcher.h"

#include "gateway/refusal.h"
#include "peer/lendableresources.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration IdleTickInterval = std::chrono::milliseconds(500); // while no request is held
constexpr std::uint32_t RetryAfterSeconds = 1;
// In a full service, all runners but one may answer "busy" before the free slot is found.
constexpr unsigned MaxAttempts = 24;

prometheus::Gauge &makeGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

Dispatcher::Dispatcher(Daemon &daemon, PeerNode &node, Options options)
    : m_daemon(daemon)
    , m_options(std::move(options))
    , m_loans(
          daemon, node,
          {.demand = [this](const LoanKey &key) { return demand(key); },
           .served = [this](const LoanKey &key, TimePoint now) { return m_served[key].total(now); },
           .onGranted =
               [this](const LoanKey &) {
                   for (auto &[name, serviceState] : m_services)
                       dispatch(serviceState);
               }})
    , m_tickTimer(daemon.loop(), [this] { tick(); })
    , m_drainTimer(daemon.loop(),
                   [this] {
                       std::vector<std::uint64_t> ids;
                       for (const auto &[id, held] : m_held)
                           ids.push_back(id);
                       for (const std::uint64_t id : ids)
                           onEvent(id, RequestEvent::ShutdownForced, nullptr);
                       if (m_drained)
                           std::exchange(m_drained, nullptr)();
                   })
    , m_requests(prometheus::BuildCounter()
                     .Name("sequoiapier_requests_total")
                     .Help("Callers' requests by result code")
                     .Register(daemon.metrics()))
    , m_queuedGauge(makeGauge(daemon.metrics(), "sequoiapier_requests_queued",
                              "Requests waiting for a runner"))
    , m_heldGauge(makeGauge(daemon.metrics(), "sequoiapier_requests_held",
                            "Requests held, those whose late end is awaited included"))
{ }

void Dispatcher::start()
{
    m_loans.start();
    tick();
}

void Dispatcher::configure(const Configuration &configuration)
{
    std::set<LoanKey> keys;
    m_ceilings.clear();
    for (const TeamConfig &team : configuration.teams) {
        if (team.ceiling > 0) {
            m_ceilings.insert(team.name);
            keys.insert({ceilingResource(team.name), ""});
        }
    }
    for (const ServiceConfig &service : configuration.services) {
        ServiceState &serviceState
            = m_services.try_emplace(service.name, m_options.seed).first->second;
        serviceState.config = service;
        std::vector<UpstreamRunner> runners;
        for (const RunnerConfig &runner : service.runners) {
            runners.push_back({.name = toString(Endpoint{runner.address, runner.port}),
                               .slots = service.slotsPerRunner,
                               .connections = service.connectionsPerRunner});
        }
        serviceState.picker.setRunners(runners);
        markLeaving(serviceState);
        keys.insert({slotResource(service.name), ""});
        for (const TeamConfig &team : configuration.teams)
            keys.insert({slotResource(service.name), team.name});
    }
    for (const QueueConfig &queue : configuration.queues) {
        ServiceState &serviceState = m_services.at(queue.service);
        const TeamQueues::Options options{.maxCount = queue.maxQueued};
        TeamQueues &queues = serviceState.queues.try_emplace(queue.name, options).first->second;
        for (const TeamConfig &team : configuration.teams)
            queues.setWeight(team.name, team.share);
    }
    m_loans.setLoans(keys);
}

void Dispatcher::setLeavingHosts(const LiveListClient::Addresses &addresses)
{
    m_leavingHosts = addresses;
    for (auto &[name, serviceState] : m_services) {
        markLeaving(serviceState);
        dispatch(serviceState);
    }
}

void Dispatcher::markLeaving(ServiceState &serviceState) const
{
    for (const RunnerConfig &runner : serviceState.config.runners) {
        serviceState.picker.setLeaving(toString(Endpoint{runner.address, runner.port}),
                                       m_leavingHosts.contains(runner.address));
    }
}

void Dispatcher::submit(std::shared_ptr<HttpExchange> exchange, CallerRequest request,
                        const std::string &queue, std::string team,
                        std::optional<RequestDigest> digest)
{
    const auto serviceState
        = std::find_if(m_services.begin(), m_services.end(),
                       [&](const auto &entry) { return entry.second.queues.contains(queue); });
    if (serviceState == m_services.end()) {
        refuse(*exchange, {ResultCode::QueueUnknown, "no queue '" + queue + "'"});
        return;
    }
    const std::uint64_t id = m_nextId++;
    HeldRequest held{
        .exchange = std::move(exchange),
        .service = serviceState->first,
        .digest = digest,
        .state = RequestState({.isIdempotent = request.isIdempotent, .maxAttempts = MaxAttempts})};
    held.queued = {.id = id,
                   .team = std::move(team),
                   .arrival = BootClock::now(),
                   .deadline = request.deadline,
                   .isUrgent = request.isUrgent,
                   .bytes = held.exchange->request().body.size()};
    if (!request.key.empty())
        held.keyDigest = keyDigest(request.key);
    held.request = std::move(request);
    held.deadlineTimer = std::make_unique<Timer>(m_daemon.loop(), [this, id] { onDeadline(id); });
    held.deadlineTimer->startAt(held.request.deadline);
    held.exchange->onClosed([this, id] { onEvent(id, RequestEvent::CallerGone, nullptr); });
    if (m_held.empty())
        m_tickTimer.startAt(BootClock::now() + TickInterval);
    m_held.emplace(id, std::move(held));
    enqueue(id);
}

void Dispatcher::enqueue(std::uint64_t id)
{
    HeldRequest &held = m_held.at(id);
    ServiceState &serviceState = m_services.at(held.service);
    const Result<void> pushed
        = serviceState.queues.at(held.request.queue).push(held.queued, BootClock::now());
    if (!pushed)
        apply(id, held.state.onRefused(pushed.error().code), nullptr);
    dispatch(serviceState);
}

void Dispatcher::dispatch(ServiceState &serviceState)
{
    const TimePoint now = BootClock::now();
    refuseOverdue(serviceState, now);
    if (m_options.mayStartRequests && !m_options.mayStartRequests())
        return;
    while (dispatchOne(serviceState, now)) { }
}

bool Dispatcher::dispatchOne(ServiceState &serviceState, TimePoint now)
{
    TeamQueues *queues = nextQueue(serviceState);
    if (queues == nullptr || !serviceState.picker.pick(now))
        return false;
    const std::optional<QueuedRequest> next = queues->pop(
        now, [&](std::string_view team) { return mayStart(serviceState, team, false, now); },
        [&](std::string_view team) { return mayStart(serviceState, team, true, now); });
    refuseOverdue(serviceState, now);
    if (!next)
        return false;
    HeldRequest &held = m_held.at(next->id);
    held.queued = *next;
    if (isKeyValid(held)) {
        startAttempt(serviceState, next->id, now);
    } else {
        queues->onNotRun(*next);
        apply(next->id, held.state.onRefused(ResultCode::KeyRejected), nullptr);
    }
    return true;
}

bool Dispatcher::isKeyValid(const HeldRequest &held) const
{
    return held.keyDigest.empty() || !m_options.isKeyValid || m_options.isKeyValid(held.keyDigest);
}

// Round robin: returns the first non-empty queue after the one served last, or nullptr.
TeamQueues *Dispatcher::nextQueue(ServiceState &serviceState)
{
    auto queue = serviceState.queues.upper_bound(serviceState.lastQueue);
    for (std::size_t i = 0; i < serviceState.queues.size(); ++i, ++queue) {
        if (queue == serviceState.queues.end())
            queue = serviceState.queues.begin();
        if (queue->second.count() > 0) {
            serviceState.lastQueue = queue->first;
            return &queue->second;
        }
    }
    return nullptr;
}

void Dispatcher::onDeadline(std::uint64_t id)
{
    HeldRequest &held = m_held.at(id);
    if (held.state.phase() == RequestPhase::Queued)
        m_services.at(held.service).queues.at(held.request.queue).remove(id);
    else if (held.state.phase() == RequestPhase::Sent)
        reportOverdue(held);
    onEvent(id, RequestEvent::DeadlinePassed, nullptr);
}

void Dispatcher::onEvent(std::uint64_t id, RequestEvent event, HttpResponse *response)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return;
    HeldRequest &held = found->second;
    const bool wasQueued = held.state.phase() == RequestPhase::Queued;
    const RequestStep step = held.state.onEvent(event);
    if (wasQueued && step.action == RequestAction::Finish)
        m_services.at(held.service).queues.at(held.request.queue).remove(id);
    apply(id, step, response);
}

void Dispatcher::apply(std::uint64_t id, RequestStep step, HttpResponse *response)
{
    HeldRequest &held = m_held.at(id);
    applyUnitAction(held, step.unit);
    switch (step.action) {
    case RequestAction::Retry:
        retry(id);
        return;
    case RequestAction::Finish:
        finish(held, step.code, response);
        break;
    case RequestAction::DropLate:
        count(ResultCode::OutcomeUnknown);
        break;
    case RequestAction::None:
        break;
    }
    eraseIfDone(id);
}

void Dispatcher::retry(std::uint64_t id)
{
    HeldRequest &held = m_held.at(id);
    ServiceState &serviceState = m_services.at(held.service);
    const bool needsBudget = held.state.mayHaveRun();
    if (needsBudget && !serviceState.retryBudget.tryTake(BootClock::now())) {
        apply(id, held.state.onRefused(ResultCode::RetryBudgetEmpty), nullptr);
        return;
    }
    enqueue(id);
}

void Dispatcher::finish(HeldRequest &held, ResultCode code, HttpResponse *response)
{
    held.deadlineTimer->cancel();
    if (held.secondAttemptTimer)
        held.secondAttemptTimer->cancel();
    if (code == ResultCode::Ok && response != nullptr) {
        count(code);
        response->headers.push_back({"x-run-state", std::string(toString(RunState::Ran))});
        held.exchange->reply(std::move(*response));
        return;
    }
    const auto answer = [this, code, exchange = held.exchange] {
        refuse(*exchange, {code, std::string(resultInfo(code).meaning)});
    };
    if (held.digest && m_options.onNotRun && resultInfo(code).runState == RunState::NotRun)
        m_options.onNotRun(*held.digest, answer);
    else
        answer();
}

void Dispatcher::refuse(HttpExchange &exchange, const Error &error)
{
    count(error.code);
    exchange.reply(refusalResponse(error, RetryAfterSeconds));
}

void Dispatcher::eraseIfDone(std::uint64_t id)
{
    const HeldRequest &held = m_held.at(id);
    if (held.state.phase() != RequestPhase::Finished || held.units.slot || held.second)
        return;
    m_held.erase(id);
    if (m_held.empty() && m_drained)
        std::exchange(m_drained, nullptr)();
}

void Dispatcher::refuseOverdue(ServiceState &serviceState, TimePoint now)
{
    for (auto &[name, queues] : serviceState.queues) {
        for (const RefusedRequest &refused : queues.takeRefused(now)) {
            const std::uint64_t id = refused.request.id;
            apply(id, m_held.at(id).state.onRefused(refused.code), nullptr);
        }
    }
}

void Dispatcher::tick()
{
    releaseDelayed();
    std::size_t queued = 0;
    for (auto &[name, serviceState] : m_services) {
        dispatch(serviceState);
        for (const auto &[queue, queues] : serviceState.queues)
            queued += queues.count();
    }
    m_queuedGauge.Set(double(queued));
    m_heldGauge.Set(double(m_held.size()));
    const bool isIdle = m_held.empty() && m_delayedReleases.empty();
    m_tickTimer.startAt(BootClock::now() + (isIdle ? IdleTickInterval : TickInterval));
}

void Dispatcher::drain(TimePoint deadline, std::function<void()> done)
{
    m_drained = [this, done = std::move(done)] {
        m_loans.setLoans({});
        done();
    };
    if (m_held.empty())
        std::exchange(m_drained, nullptr)();
    else
        m_drainTimer.startAt(deadline);
}

void Dispatcher::count(ResultCode code)
{
    prometheus::Counter *&counter = m_counters[code];
    if (counter == nullptr)
        counter = &m_requests.Add({{"code", std::string(resultInfo(code).name)}});
    counter->Increment();
}

} // namespace sequoiapier
