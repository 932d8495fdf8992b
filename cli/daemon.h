// Daemon: the parts that the processes of all roles share: event loop, log, event ring, metrics,
// HTTP client and the admin port with /metrics, /healthz, /readyz, /events and the paths of the
// role.
//
//   Daemon daemon(settings.common);
//   daemon.route("/table", [&](auto exchange) { rpc.serve(exchange); });
//   daemon.onDrain([&](std::function<void()> done) { ... });
//   return daemon.run();
//
// On SIGTERM or SIGINT /readyz stops answering 200 and the drain hook runs. The process exits with
// Ok once the hook has called `done` and no request is open on the admin port, or with DrainTimeout
// at the drain deadline. A second signal makes it exit at once with ForcedExit.
#pragma once

#include "cli/logger.h"
#include "cli/settingsparser.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/servershutdown.h"
#include "net/timer.h"
#include "sequoiapier/eventring.h"

#include <prometheus/registry.h>

#include <map>
#include <memory>

namespace sequoiapier {

struct CommonSettings
{
    std::string name; // unique among all processes
    std::string zone = "zone-1";
    std::string address = "127.0.0.1"; // IP address to listen on
    std::int64_t port = 0; // for the admin port, which peers call too
    std::string logFormat = "text";
    std::string logLevel = "info";
    bool isLogToStandardOutput = false;
    std::int64_t drainMilliseconds = 10'000;
    std::int64_t maxDescriptors = 4096;
    std::int64_t adminConnections = 1024; // most connections to the admin port
    std::int64_t readTimeoutSeconds = 10; // longest wait for the next part of a request
};

void addCommonSettings(SettingsParser &parser, CommonSettings &settings);
// Adds the required setting `table`, the endpoint of the platform's table service.
void addTableSetting(SettingsParser &parser, std::string &endpoint);

class Daemon
{
public:
    using DrainHook = std::function<void(std::function<void()> done)>;

    explicit Daemon(const CommonSettings &settings);

    Loop &loop() { return m_loop; }
    HttpClient &httpClient() { return m_httpClient; }
    const Logger &logger() const { return m_logger; }
    EventRing &events() { return m_events; }
    prometheus::Registry &metrics() { return m_metrics; }
    const CommonSettings &settings() const { return m_settings; }

    // Lets `handler` answer requests to `path` on the admin port.
    void route(std::string path, HttpServer::Handler handler);
    void onDrain(DrainHook hook) { m_drainHook = std::move(hook); }
    // Sets the hook for SIGHUP, which is ignored without one.
    void onReload(std::function<void()> hook) { m_reloadHook = std::move(hook); }
    // Sets whether /readyz answers 200. It does not until this is set, nor while draining.
    void setReady(bool ready) { m_isReady = ready; }
    bool isDraining() const { return m_isDraining; }

    // Records an event in the event ring and in the log.
    void report(std::string_view kind, Event event);

    // Serves until drained; returns the exit status.
    int run();

private:
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void handleSignal(int signal);
    void closeAdmin(TimePoint deadline);
    void finish(ResultCode code);

    CommonSettings m_settings;
    Loop m_loop;
    Logger m_logger;
    EventRing m_events;
    prometheus::Registry m_metrics;
    HttpClient m_httpClient;
    HttpServer m_admin;
    std::map<std::string, HttpServer::Handler, std::less<>> m_routes;
    DrainHook m_drainHook;
    std::function<void()> m_reloadHook;
    Timer m_drainTimer;
    ServerShutdown m_adminShutdown;
    bool m_isReady = false;
    bool m_isDraining = false;
    ResultCode m_exitCode = ResultCode::Ok;
};

} // namespace sequoiapier
