#include "gateway/gateway.h"

#include "cli/command.h"
#include "gateway/refusal.h"

#include <prometheus/family.h>

#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TableDeadline = std::chrono::seconds(2);
constexpr std::uint32_t RetryAfterSeconds = 1;

prometheus::Counter &requestCounter(prometheus::Registry &registry, const char *outcome)
{
    return prometheus::BuildCounter()
        .Name("sequoiapier_requests_total")
        .Help("Callers' requests by outcome")
        .Register(registry)
        .Add({{"outcome", outcome}});
}

HttpServer::Options serverOptions(const GatewaySettings &settings)
{
    return {.address = settings.common.address,
            .port = std::uint16_t(settings.callerPort),
            .maxBodyBytes = std::size_t(settings.maxBodyBytes),
            .maxConnections = std::size_t(settings.maxCallerConnections),
            .readTimeoutSeconds = unsigned(settings.readTimeoutSeconds),
            .keptHeaders = callerHeaderNames(),
            .refusal = [](const Error &error) { return refusalResponse(error, 0); }};
}

} // namespace

Gateway::Gateway(Daemon &daemon, const GatewaySettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_remoteTable(daemon.httpClient(), {parseEndpoint(settings.tableEndpoint).value()})
    , m_table(m_remoteTable.hooks())
    , m_pollTimer(daemon.loop(), [this] { pollConfiguration(); })
    , m_server(daemon.loop(), serverOptions(settings),
               [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
    , m_answered(requestCounter(daemon.metrics(), "answered"))
    , m_refused(requestCounter(daemon.metrics(), "refused"))
{
    pollConfiguration();
}

void Gateway::pollConfiguration()
{
    m_table.read(ConfigurationKey, BootClock::now() + TableDeadline,
                 [this](const Result<std::optional<TableRow>> &row) {
                     if (row && row.value())
                         applyConfiguration(*row.value());
                     m_pollTimer.startAt(
                         BootClock::now()
                         + std::chrono::milliseconds(m_settings.configurationPollMilliseconds));
                 });
}

void Gateway::applyConfiguration(const TableRow &row)
{
    if (row.version <= m_configuration.version)
        return;
    Result<Configuration> parsed = parseConfiguration(row.value, row.version);
    if (!parsed) {
        m_daemon.report("configuration.rejected",
                        {.epoch = row.version, .detail = parsed.error().detail});
        return;
    }
    m_configuration = std::move(parsed.value());
    m_daemon.report("configuration.applied", {.epoch = row.version});
    m_daemon.setReady(true);
}

void Gateway::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_daemon.isDraining()) {
        refuse(*exchange, {ResultCode::ShuttingDown, "this gateway is draining"});
        return;
    }
    const Result<CallerRequest> request = parseCallerRequest(exchange->request(), BootClock::now());
    if (!request) {
        refuse(*exchange, request.error());
        return;
    }
    const Result<const ServiceConfig *> service = admit(request.value());
    if (!service) {
        refuse(*exchange, service.error());
        return;
    }
    send(exchange, request.value(), *service.value());
}

Result<const ServiceConfig *> Gateway::admit(const CallerRequest &request) const
{
    if (m_configuration.version == 0)
        return Error{ResultCode::ConfigurationStale, "no configuration has been read yet"};
    const QueueConfig *queue = m_configuration.findQueue(request.queue);
    if (queue == nullptr)
        return Error{ResultCode::QueueUnknown, "no queue '" + request.queue + "'"};
    if (!queue->isOpen) {
        if (request.key.empty())
            return Error{ResultCode::KeyMissing, "queue '" + queue->name + "' needs a key"};
        if (m_configuration.findKey(keyDigest(request.key)) == nullptr)
            return Error{ResultCode::KeyRejected, "the key is unknown or withdrawn"};
    }
    const ServiceConfig *service = m_configuration.findService(queue->service);
    if (service == nullptr || service->runners.empty())
        return Error{ResultCode::NoUpstream, "service '" + queue->service + "' has no runner"};
    return service;
}

void Gateway::send(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &request,
                   const ServiceConfig &service)
{
    const RunnerConfig &runner = service.runners[m_nextRunner++ % service.runners.size()];
    HttpCall call{.address = runner.address, .port = runner.port, .deadline = request.deadline};
    call.connectionUse = request.isIdempotent ? ConnectionUse::Reuse : ConnectionUse::Fresh;
    call.request = {.method = "POST", .path = "/work", .body = exchange->request().body};
    const auto left = remainingMilliseconds(request.deadline, BootClock::now());
    call.request.headers
        = {{"x-deadline-ms", std::to_string(left)}, {"x-request-id", request.requestId}};
    ++m_inFlight;
    m_daemon.httpClient().call(std::move(call), [this, exchange](HttpAnswer answer) {
        if (answer.outcome == HttpOutcome::Answered) {
            m_answered.Increment();
            answer.response.headers.push_back({"x-run-state", "ran"});
            exchange->reply(std::move(answer.response));
        } else if (answer.outcome == HttpOutcome::NotSent) {
            refuse(*exchange, {ResultCode::NoUpstream, "no connection to a runner"});
        } else if (answer.timedOut) {
            refuse(*exchange, {ResultCode::OutcomeUnknown, "no answer by the deadline"});
        } else {
            refuse(*exchange, {ResultCode::UpstreamLost, "the connection was lost"});
        }
        finishOne();
    });
}

void Gateway::refuse(HttpExchange &exchange, const Error &error)
{
    m_refused.Increment();
    exchange.reply(refusalResponse(error, RetryAfterSeconds));
}

void Gateway::finishOne()
{
    --m_inFlight;
    if (m_inFlight == 0 && m_drained)
        m_drained();
}

void Gateway::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    if (m_inFlight == 0)
        m_drained();
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
