#include "node/ingress.h"

#include "jobs/queuehome.h"
#include "sequoiapier/boundedjson.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

// About the time that a takeover takes.
constexpr Duration RetryWithoutOwner = std::chrono::seconds(1);

const prometheus::Histogram::BucketBoundaries LatencyBounds{0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                            0.2,   0.5,   1,    2,    3};

api::JobVerb::type toJobVerb(CallerVerb verb)
{
    switch (verb) {
    case CallerVerb::Submit:
        return api::JobVerb::SUBMIT;
    case CallerVerb::Cancel:
        return api::JobVerb::CANCEL;
    default:
        return api::JobVerb::STATE;
    }
}

bool isNotFound(const api::JobReply &reply)
{
    return reply.code == std::int32_t(ResultCode::NotFound);
}

} // namespace

Ingress::Ingress(JobRelay &relay, const OperatorWatch &operators, DecisionLog &log,
                 prometheus::Registry &metrics)
    : m_relay(relay)
    , m_operators(operators)
    , m_log(log)
    , m_answers(prometheus::BuildCounter()
                    .Name("sequoiapier_caller_answers_total")
                    .Help("Callers' requests answered, by result code")
                    .Register(metrics))
    , m_latency(prometheus::BuildHistogram()
                    .Name("sequoiapier_caller_seconds")
                    .Help("From a caller's request to its answer")
                    .Register(metrics)
                    .Add({}, LatencyBounds))
{ }

void Ingress::onConfiguration()
{
    m_configuration = m_operators.configuration();
    m_routes = QueueRoutes(m_configuration);
}

void Ingress::setJsonLimit(std::size_t maxValues, std::function<void()> onExceeded)
{
    m_maxJsonValues = maxValues;
    m_onJsonLimit = std::move(onExceeded);
}

void Ingress::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const TimePoint now = BootClock::now();
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->call = readCallerRequest(exchange->request(), now);
    request->arrivedAt = now;
    if (!m_operators.isConfirmed(now)) {
        answer(request, {.code = ResultCode::ConfigurationStale, .retryAfter = RetryWithoutOwner});
        return;
    }
    const QueueConfig *queue = m_routes.find(request->call.host, request->call.path);
    if (queue == nullptr) {
        answer(request, {.code = ResultCode::QueueUnknown});
        return;
    }
    request->queue = queue->name;
    request->pool = queue->service;
    request->job = request->call.path.substr(queue->pathPrefix.size());
    if (queue->timeoutMilliseconds > 0) {
        const auto timeout = std::chrono::milliseconds(queue->timeoutMilliseconds);
        request->call.deadline = std::min(request->call.deadline, TimePoint(now + timeout));
    }
    request->call.deadline = std::min(request->call.deadline, m_answerDeadline);
    const ResultCode code = checkKey(*request, *queue);
    if (code != ResultCode::Ok) {
        answer(request, {.code = code});
        return;
    }
    callOwner(request, *queue);
}

ResultCode Ingress::checkKey(Request &request, const QueueConfig &queue) const
{
    if (queue.isOpen && request.call.key.empty())
        return ResultCode::Ok;
    if (request.call.key.empty())
        return ResultCode::KeyMissing;
    const KeyConfig *key = m_configuration.findKey(keyDigest(request.call.key));
    if (key != nullptr)
        request.team = key->team;
    return key != nullptr || queue.isOpen ? ResultCode::Ok : ResultCode::KeyRejected;
}

void Ingress::callOwner(const RequestPtr &request, const QueueConfig &queue)
{
    api::JobCall call;
    call.verb = toJobVerb(request->call.verb);
    call.pool = queue.service;
    call.queue = queue.name;
    call.job = request->job;
    call.team = request->team;
    call.address = jobs::queueAddress(queue);
    const bool isQueue = request->job.empty() && request->call.verb == CallerVerb::State;
    if (isQueue) {
        call.verb = api::JobVerb::WAITING;
    } else if (!isJobId(request->job) || request->call.verb == CallerVerb::Unknown) {
        answer(request, {.code = ResultCode::RequestMalformed, .detail = "not a job's identifier"});
        return;
    }
    if (call.verb == api::JobVerb::SUBMIT) {
        const std::string &body = request->exchange->request().body;
        const Result<jobs::JobSpec> spec = parseSubmission(body, m_maxJsonValues);
        if (!spec) {
            if (m_onJsonLimit && countJsonValues(body) > m_maxJsonValues)
                m_onJsonLimit();
            answer(request, {.code = spec.error().code, .detail = spec.error().detail});
            return;
        }
        call.spec = jobs::encodeJobSpec(spec.value());
    }
    relay(request, call);
}

void Ingress::relay(const RequestPtr &request, const api::JobCall &call)
{
    m_relay.call(call, request->call.deadline, [this, request, call](const api::JobReply &reply) {
        onOwnerReply(request, call, reply);
    });
}

void Ingress::onOwnerReply(const RequestPtr &request, const api::JobCall &call,
                           const api::JobReply &reply)
{
    const bool isAboutJob = call.verb == api::JobVerb::STATE || call.verb == api::JobVerb::CANCEL;
    if (isNotFound(reply) && isAboutJob)
        askOtherPools(request, call, 0);
    else if (!reply.formerPools.empty())
        askFormerPools(request, call, reply);
    else
        answer(request, toAnswer(reply, call));
}

// Asks the former pools of the queue, the last one first, whether they know the job, or how many of
// the queue's jobs wait there. `home` is the answer of the queue's pool; it collects the answers.
void Ingress::askFormerPools(const RequestPtr &request, const api::JobCall &call,
                             api::JobReply home)
{
    while (!home.formerPools.empty() && !isActive(home.formerPools.back())) {
        home.hasJobs = true; // Not known, so that the pool is asked again once it is active.
        home.formerPools.pop_back();
    }
    if (home.formerPools.empty()) {
        onFormerPoolsAsked(request, call, home);
        return;
    }
    api::JobCall asked = call;
    asked.pool = home.formerPools.back();
    home.formerPools.pop_back();
    if (call.verb == api::JobVerb::SUBMIT) {
        asked.verb = api::JobVerb::REPEAT;
        asked.spec.clear();
    }
    m_relay.call(asked, request->call.deadline,
                 [this, request, call, asked, home](const api::JobReply &reply) {
                     const bool isCounted = asked.verb == api::JobVerb::WAITING
                         && reply.code == std::int32_t(ResultCode::Ok);
                     if (!isCounted && !isNotFound(reply)) {
                         answer(request, toAnswer(reply, asked));
                         return;
                     }
                     api::JobReply sum = home;
                     sum.waiting += reply.waiting;
                     sum.hasJobs = sum.hasJobs || reply.hasJobs;
                     askFormerPools(request, call, sum);
                 });
}

void Ingress::onFormerPoolsAsked(const RequestPtr &request, api::JobCall call,
                                 const api::JobReply &home)
{
    if (call.verb == api::JobVerb::WAITING) {
        answer(request, toAnswer(home, call));
        return;
    }
    call.homeVersion = home.homeVersion;
    call.areFormerPoolsEmpty = !home.hasJobs;
    relay(request, call);
}

// Returns whether a node owns the pool, or will as soon as it has noticed that none does.
bool Ingress::isActive(const std::string &pool) const
{
    const ServiceConfig *service = m_configuration.findService(pool);
    return service != nullptr && !service->isStandby;
}

// Asks the owners of the other pools in order, since the queue may have been assigned to another
// pool after the job was accepted.
void Ingress::askOtherPools(const RequestPtr &request, api::JobCall call, std::size_t next)
{
    const std::vector<ServiceConfig> &services = m_configuration.services;
    while (next < services.size()
           && (services[next].isStandby || services[next].name == request->pool))
        ++next;
    if (next >= services.size()) {
        answer(request, {.code = ResultCode::NotFound});
        return;
    }
    call.pool = services[next].name;
    m_relay.call(call, request->call.deadline,
                 [this, request, call, next](const api::JobReply &reply) {
                     if (isNotFound(reply))
                         askOtherPools(request, call, next + 1);
                     else
                         answer(request, toAnswer(reply, call));
                 });
}

CallerAnswer Ingress::toAnswer(const api::JobReply &reply, const api::JobCall &call)
{
    CallerAnswer answer{.code = ResultCode(reply.code), .state = reply.state};
    if (answer.code == ResultCode::Ok && call.verb == api::JobVerb::WAITING)
        answer.waiting = reply.waiting;
    answer.retryAfter = std::chrono::milliseconds(reply.retryAfterMilliseconds);
    if (answer.code == ResultCode::NoUpstream && answer.retryAfter == Duration{})
        answer.retryAfter = RetryWithoutOwner;
    return answer;
}

void Ingress::answer(const RequestPtr &request, const CallerAnswer &answer)
{
    const std::chrono::duration<double> elapsed = BootClock::now() - request->arrivedAt;
    const std::string code(resultInfo(answer.code).name);
    m_latency.Observe(elapsed.count());
    m_answers.Add({{"code", code}}).Increment();
    // Requests for the state of a job change nothing and are the most frequent, so only failed ones
    // are logged.
    if (request->call.verb != CallerVerb::State || answer.code != ResultCode::Ok) {
        m_log.info("caller.answered",
                   {{"job", request->job},
                    {"method", request->exchange->request().method},
                    {"queue", request->queue},
                    {"team", request->team},
                    {"code", code},
                    {"detail", answer.detail},
                    {"configuration", std::to_string(m_configuration.version)},
                    {"ms", std::to_string(std::int64_t(elapsed.count() * 1'000))}});
    }
    request->exchange->reply(toResponse(answer));
}

} // namespace sequoiapier
