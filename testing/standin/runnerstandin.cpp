#include "testing/standin/runnerstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sequoiapier {

namespace {

constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxBodyBytes = 1024 * 1024;
constexpr std::string_view WorkPrefix = "work-ms=";

// What the request says of its own length; empty if nothing.
std::string workMilliseconds(const HttpRequest &request)
{
    const std::string_view header = headerValue(request.headers, "x-work-ms");
    if (header.empty() && request.body.starts_with(WorkPrefix))
        return request.body.substr(WorkPrefix.size());
    return std::string(header);
}

} // namespace

RunnerStandin::RunnerStandin(Daemon &daemon, const RunnerSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_server(daemon.loop(),
               {.address = daemon.settings().address,
                .port = std::uint16_t(settings.workPort),
                .maxBodyBytes = MaxBodyBytes,
                .maxConnections = std::size_t(settings.connections),
                .keptHeaders = {"x-request-id", "x-work-ms"}},
               [this](const std::shared_ptr<HttpExchange> &exchange) { work(exchange); })
{
    m_daemon.route("/record", [this](const std::shared_ptr<HttpExchange> &exchange) {
        serveRecord(exchange);
    });
    m_daemon.route("/spans",
                   [this](const std::shared_ptr<HttpExchange> &exchange) { serveSpans(exchange); });
    m_daemon.route("/faults", [this](const std::shared_ptr<HttpExchange> &exchange) {
        const Result<Faults> faults = parseFaults(exchange->request().body);
        if (faults)
            m_faults = faults.value();
        exchange->reply({.status = faults ? 200 : 400});
    });
}

void RunnerStandin::work(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_faults.leaving || m_faults.outage || m_running >= m_settings.slots) {
        ++m_refused;
        const bool isBusy = !m_faults.leaving && !m_faults.outage;
        exchange->reply({.status = StatusUnavailable,
                         .headers = {{"x-run-state", "not-run"},
                                     {"x-runner-state", isBusy ? "busy" : "leaving"}}});
        return;
    }
    const std::vector<HttpHeader> &headers = exchange->request().headers;
    const std::string id(headerValue(headers, "x-request-id"));
    if (!id.empty())
        ++m_runs[id];
    ++m_running;
    m_peakRunning = std::max(m_peakRunning, m_running);
    const std::string workText = workMilliseconds(exchange->request());
    const TimePoint startedAt = BootClock::now();
    const std::int64_t duration
        = workText.empty() ? m_settings.workMilliseconds : std::atoll(workText.c_str());
    if (duration <= 0) {
        finish(exchange, startedAt);
        return;
    }
    const std::uint64_t id2 = m_nextTimer++;
    m_timers[id2] = std::make_unique<Timer>(m_daemon.loop(), [this, exchange, startedAt, id2] {
        finish(exchange, startedAt);
        m_timers.erase(id2);
    });
    m_timers[id2]->startAt(startedAt + std::chrono::milliseconds(duration));
}

void RunnerStandin::finish(const std::shared_ptr<HttpExchange> &exchange, TimePoint startedAt)
{
    --m_running;
    m_spans.push_back({std::string(headerValue(exchange->request().headers, "x-request-id")),
                       startedAt, BootClock::now()});
    if (m_spans.size() > MaxSpans)
        m_spans.pop_front();
    if (m_faults.silent || m_faults.lostAnswers > 0) {
        m_faults.lostAnswers = std::max(0, m_faults.lostAnswers - 1);
        return;
    }
    exchange->reply({.body = exchange->request().body});
}

void RunnerStandin::serveSpans(const std::shared_ptr<HttpExchange> &exchange) const
{
    nlohmann::json spans = nlohmann::json::array();
    for (const Span &span : m_spans) {
        spans.push_back({span.requestId, span.start.time_since_epoch().count(),
                         span.end.time_since_epoch().count()});
    }
    exchange->reply({.body = spans.dump() + "\n"});
}

void RunnerStandin::serveRecord(const std::shared_ptr<HttpExchange> &exchange) const
{
    const nlohmann::json record{{"runs", m_runs},
                                {"running", m_running},
                                {"peakRunning", m_peakRunning},
                                {"refused", m_refused}};
    exchange->reply({.body = record.dump() + "\n"});
}

} // namespace sequoiapier
