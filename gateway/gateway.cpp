#include "gateway/gateway.h"

#include "cli/command.h"
#include "gateway/refusal.h"

#include <iostream>
#include <random>
#include <utility>

namespace sequoiapier {

namespace {

// Part of the drain time that is reserved for sending answers after held requests are abandoned.
constexpr Duration AnswerReserve = std::chrono::milliseconds(500);

HttpServer::Options serverOptions(const GatewaySettings &settings)
{
    return {.address = settings.common.address,
            .port = std::uint16_t(settings.callerPort),
            .maxBodyBytes = std::size_t(settings.maxBodyBytes),
            .maxConnections = std::size_t(settings.maxCallerConnections),
            .readTimeoutSeconds = unsigned(settings.common.readTimeoutSeconds),
            .keptHeaders = callerHeaderNames(),
            .refusal = [](const Error &error) { return refusalResponse(error, 0); }};
}

} // namespace

Gateway::Gateway(Daemon &daemon, const GatewaySettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_node(daemon, {.role = "gateway", .table = parseEndpoint(settings.tableEndpoint).value()},
             {.apply = [this](const Configuration &c) { applyConfiguration(c); },
              .joined =
                  [this] {
                      m_duplicates.start();
                      m_recordTimer.startAt(BootClock::now() + DuplicateGuard::JoinPropagationTime);
                      m_dispatcher.start();
                  }})
    , m_duplicates(daemon, m_node)
    , m_dispatcher(
          daemon, m_node,
          {.longestWork = std::chrono::milliseconds(settings.longestWorkMilliseconds),
           .seed = std::random_device()(),
           .mayStartRequests = [this] { return m_node.follower().isConfirmed(BootClock::now()); },
           .isKeyValid = [this](std::string_view digest) { return isKeyValid(digest); },
           .onNotRun
           = [this](const RequestDigest &digest,
                    std::function<void()> done) { m_duplicates.forget(digest, std::move(done)); }})
    , m_recordTimer(daemon.loop(),
                    [this] {
                        m_isRecordComplete = true;
                        m_daemon.setReady(m_isConfigured);
                    })
    , m_server(daemon.loop(), serverOptions(settings),
               [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
    , m_shutdown(daemon.loop(), m_server)
{
    m_node.start();
    if (!settings.liveListEndpoint.empty())
        startLiveList();
}

void Gateway::startLiveList()
{
    const auto onLeaving = [this](const LiveListClient::Addresses &addresses) {
        std::string text;
        for (const std::string &address : addresses)
            text += (text.empty() ? "" : " ") + address;
        m_daemon.report("hosts.leaving", {.detail = text});
        m_dispatcher.setLeavingHosts(addresses);
    };
    const auto onError = [this](const Error &error) {
        m_daemon.report("livelist.failed", {.detail = error.detail});
    };
    m_liveList = std::make_unique<LiveListClient>(
        m_daemon.loop(), m_daemon.httpClient(),
        LiveListClient::Options{.endpoint = parseEndpoint(m_settings.liveListEndpoint).value()},
        LiveListClient::Hooks{.onLeaving = onLeaving, .onError = onError});
    m_liveList->start();
}

void Gateway::applyConfiguration(const Configuration &configuration)
{
    m_dispatcher.configure(configuration);
    m_isConfigured = true;
    m_daemon.setReady(m_isRecordComplete);
}

void Gateway::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_daemon.isDraining()) {
        m_dispatcher.refuse(*exchange, {ResultCode::ShuttingDown, "this gateway is draining"});
        return;
    }
    Result<CallerRequest> request = parseCallerRequest(exchange->request(), BootClock::now());
    if (!request) {
        m_dispatcher.refuse(*exchange, request.error());
        return;
    }
    const Result<Admission> admission = admit(request.value());
    if (!admission) {
        m_dispatcher.refuse(*exchange, admission.error());
        return;
    }
    const bool needsDuplicateCheck
        = !request.value().isIdempotent && !request.value().requestId.empty();
    if (needsDuplicateCheck) {
        submitUnlessDuplicate(exchange, request.value(), admission.value());
        return;
    }
    m_dispatcher.submit(exchange, std::move(request.value()), admission.value().queue->name,
                        admission.value().team, std::nullopt);
}

// Queues the request unless it was, or may have been, sent before under the same identifier.
void Gateway::submitUnlessDuplicate(const std::shared_ptr<HttpExchange> &exchange,
                                    const CallerRequest &request, const Admission &admission)
{
    const RequestDigest digest
        = requestDigest(admission.team, admission.queue->name, request.requestId);
    const auto onVerdict = [this, exchange, request, digest, queue = admission.queue->name,
                            team = admission.team](DuplicateVerdict verdict) {
        if (verdict == DuplicateVerdict::New) {
            m_dispatcher.submit(exchange, request, queue, team, digest);
            return;
        }
        const char *detail = verdict == DuplicateVerdict::Seen
            ? "a request with this identifier was sent before"
            : "the record of sent requests does not reach back far enough";
        m_dispatcher.refuse(*exchange, {ResultCode::DuplicateRequest, detail});
    };
    m_duplicates.check(digest, request.firstSent, onVerdict);
}

Result<Gateway::Admission> Gateway::admit(const CallerRequest &request)
{
    if (!m_node.hasJoined() || !m_node.follower().isConfirmed(BootClock::now())) {
        return Error{ResultCode::ConfigurationStale,
                     "the configuration could not be confirmed lately"};
    }
    const QueueConfig *queue = m_node.follower().configuration().findQueue(request.queue);
    if (queue == nullptr)
        return Error{ResultCode::QueueUnknown, "no queue '" + request.queue + "'"};
    const auto remaining = request.deadline - BootClock::now();
    if (remaining > std::chrono::milliseconds(m_settings.longestWorkMilliseconds)) {
        return Error{ResultCode::RequestMalformed,
                     "x-deadline-ms is longer than the longest work, "
                         + std::to_string(m_settings.longestWorkMilliseconds) + " ms"};
    }
    Result<std::string> team = findTeam(request, *queue);
    if (!team)
        return team.error();
    return Admission{queue, std::move(team.value())};
}

// Returns the team of the request's key. On an open queue, a request without a key has an empty
// team.
Result<std::string> Gateway::findTeam(const CallerRequest &request, const QueueConfig &queue)
{
    if (request.key.empty()) {
        if (queue.isOpen)
            return std::string();
        return Error{ResultCode::KeyMissing, "queue '" + queue.name + "' needs a key"};
    }
    const std::string digest = keyDigest(request.key);
    if (!isKeyValid(digest))
        return Error{ResultCode::KeyRejected, "the key is unknown or withdrawn"};
    return m_node.follower().configuration().findKey(digest)->team;
}

bool Gateway::isKeyValid(std::string_view digest)
{
    ConfigurationFollower &follower = m_node.follower();
    return follower.configuration().findKey(digest) != nullptr
        && !follower.isDenied(digest, BootClock::now());
}

void Gateway::drain(std::function<void()> done)
{
    const auto drainTime = std::chrono::milliseconds(m_settings.common.drainMilliseconds);
    const TimePoint end = BootClock::now() + drainTime;
    const TimePoint deadline = BootClock::now() + std::max<Duration>(drainTime - AnswerReserve, {});
    const auto awaitOpenRequests
        = [this, end, done = std::move(done)] { m_shutdown.awaitOpenRequests(end, done); };
    // The loans are kept until the server is closed to callers: a request from before the signal
    // may still wait for the verdict of its home gateways and is queued only after that.
    m_shutdown.drainConnections(
        std::chrono::milliseconds(m_settings.quietMilliseconds), deadline,
        [this, deadline, awaitOpenRequests] { m_dispatcher.drain(deadline, awaitOpenRequests); });
}

int runGateway(CommandArgs args)
{
    const auto settings = parseGatewaySettings(args);
    if (!settings) {
        std::cerr << settings.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (!settings.value())
        return int(ResultCode::Ok);
    Daemon daemon(settings.value()->common);
    Gateway gateway(daemon, *settings.value());
    if (!gateway.isListening()) {
        daemon.logger().error("listen.failed", {});
        return int(ResultCode::ListenFailed);
    }
    daemon.onDrain([&](std::function<void()> done) { gateway.drain(std::move(done)); });
    return daemon.run();
}

} // namespace sequoiapier
