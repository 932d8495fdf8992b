#include "cli/daemon.h"

#include "cli/endpointsetting.h"
#include "cli/eventjson.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxAdminBodyBytes = 4 * 1024 * 1024;
// The largest response is a scan of the table that returns all jobs of a pool.
constexpr std::size_t MaxScanBytes = 16 * 1024 * 1024;

std::int64_t wallMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

Logger::Options loggerOptions(const CommonSettings &settings)
{
    return {.process = settings.name,
            .zone = settings.zone,
            .format = settings.logFormat == "json" ? LogFormat::Json : LogFormat::KeyValue,
            .level = settings.logLevel,
            .isToStandardOutput = settings.isLogToStandardOutput};
}

} // namespace

void addCommonSettings(SettingsParser &parser, CommonSettings &settings)
{
    parser.addText("name", settings.name,
                   {.isRequired = true, .help = "Name of this process, unique in the fleet"});
    parser.addText("zone", settings.zone, {.help = "Availability zone of this host"});
    parser.addText(
        "address", settings.address,
        {.isValid = isIpAddress, .expected = "an IP address", .help = "Listening address"});
    parser.addInteger("port", settings.port,
                      {.min = 1, .max = 65'535, .help = "TCP port for peers, metrics and events"});
    parser.addText("log-format", settings.logFormat,
                   {.allowed = {"text", "json"}, .help = "Format of log lines"});
    parser.addText("log-level", settings.logLevel,
                   {.allowed = {"error", "warn", "info", "debug"}, .help = "Least severe level"});
    parser.addInteger(
        "drain-ms", settings.drainMilliseconds,
        {.unit = "ms", .min = 0, .max = 600'000, .help = "Longest graceful shutdown"});
    parser.addInteger(
        "max-descriptors", settings.maxDescriptors,
        {.min = 64, .max = 1'000'000, .help = "Maximum number of open file descriptors"});
}

void addTableSetting(SettingsParser &parser, std::string &endpoint)
{
    addEndpointSetting(parser, "table", endpoint, "The platform's table service", true);
}

Daemon::Daemon(const CommonSettings &settings)
    : m_settings(settings)
    , m_loop({.maxDescriptors = unsigned(settings.maxDescriptors),
              .contentTimeoutSeconds = unsigned(settings.readTimeoutSeconds)})
    , m_logger(loggerOptions(settings))
    , m_events({.process = settings.name, .zone = settings.zone}, wallMicroseconds)
    , m_httpClient(
          m_loop,
          {.maxConnections = std::size_t(settings.maxDescriptors) / 2,
           .maxResponseBytes = MaxScanBytes,
           .keptHeaders = {"x-run-state", "x-runner-state", "content-type", "retry-after"}})
    , m_admin(m_loop,
              {.address = settings.address,
               .port = std::uint16_t(settings.port),
               .maxBodyBytes = MaxAdminBodyBytes,
               .maxConnections = std::size_t(settings.adminConnections)},
              [this](const std::shared_ptr<HttpExchange> &exchange) { serve(exchange); })
    , m_drainTimer(m_loop, [this] { finish(ResultCode::DrainTimeout); })
    , m_adminShutdown(m_loop, m_admin)
{
    m_loop.onSignal([this](int signal) { handleSignal(signal); });
    m_loop.onPause([this](const Pause &pause) {
        report("process.paused",
               {.detail = formatMilliseconds(pause.length) + ", on the processor for "
                    + formatMilliseconds(pause.processorTime)});
    });
}

void Daemon::route(std::string path, HttpServer::Handler handler)
{
    m_routes[std::move(path)] = std::move(handler);
}

void Daemon::report(std::string_view kind, Event event)
{
    m_logger.info(kind,
                  {{"subject", event.subject},
                   {"epoch", std::to_string(event.epoch)},
                   {"cause", event.cause},
                   {"detail", event.detail}});
    m_events.add(kind, std::move(event));
}

int Daemon::run()
{
    if (!m_admin.isListening()) {
        m_logger.error("listen.failed", {{"port", std::to_string(m_settings.port)}});
        return int(ResultCode::ListenFailed);
    }
    report("process.started", {});
    m_loop.run();
    return int(m_exitCode);
}

void Daemon::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string &path = exchange->request().path;
    const auto route = m_routes.find(path);
    if (route != m_routes.end()) {
        route->second(exchange);
    } else if (path == "/metrics") {
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, m_metrics.Collect());
        exchange->reply(
            {.headers = {{"content-type", "text/plain; version=0.0.4"}}, .body = text.str()});
    } else if (path == "/healthz") {
        exchange->reply({.body = "ok\n"});
    } else if (path == "/readyz") {
        const bool isReady = m_isReady && !m_isDraining;
        exchange->reply({.status = isReady ? 200 : StatusUnavailable,
                         .body = isReady ? "ready\n" : "not ready\n"});
    } else if (path == "/events") {
        exchange->reply({.headers = {{"content-type", "application/x-ndjson"}},
                         .body = toJsonLines(m_events.events())});
    } else {
        exchange->reply({.status = StatusNotFound, .body = "no such path\n"});
    }
}

void Daemon::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        if (m_reloadHook)
            m_reloadHook();
        return;
    }
    if (m_isDraining) {
        m_logger.error("process.forced-exit", {{"signal", std::to_string(signal)}});
        std::_Exit(int(ResultCode::ForcedExit));
    }
    m_isDraining = true;
    report("process.draining", {.detail = "signal " + std::to_string(signal)});
    const TimePoint deadline
        = BootClock::now() + std::chrono::milliseconds(m_settings.drainMilliseconds);
    m_drainTimer.startAt(deadline);
    if (m_drainHook)
        m_drainHook([this, deadline] { closeAdmin(deadline); });
    else
        closeAdmin(deadline);
}

// Closes the admin port without a grace period because peers never stop calling it.
void Daemon::closeAdmin(TimePoint deadline)
{
    m_adminShutdown.drainConnections({}, BootClock::now(), [this, deadline] {
        m_adminShutdown.awaitOpenRequests(deadline, [this] { finish(ResultCode::Ok); });
    });
}

void Daemon::finish(ResultCode code)
{
    m_exitCode = code;
    report("process.stopped", {.detail = std::string(resultInfo(code).name)});
    m_loop.stop();
}

} // namespace sequoiapier
