#include "testing/standin/runnerstandin.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace sequoiapier {

namespace {

constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxBodyBytes = 1024 * 1024;
constexpr mode_t RecordFileMode = 0644;
constexpr std::string_view WorkPrefix = "work-ms=";

// The work duration that the request asks for, in milliseconds; empty if it names none.
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
    , m_recordFile(settings.recordFile.empty()
                       ? -1
                       : open(settings.recordFile.c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, RecordFileMode))
    , m_server(daemon.loop(),
               {.address = settings.workAddress,
                .port = std::uint16_t(settings.workPort),
                .maxBodyBytes = MaxBodyBytes,
                .maxConnections = std::size_t(settings.connections),
                .keptHeaders = {"x-request-id", "x-work-ms", "x-attempt-id"}},
               [this](const std::shared_ptr<HttpExchange> &exchange) { serveWork(exchange); })
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

RunnerStandin::~RunnerStandin()
{
    if (m_recordFile >= 0)
        close(m_recordFile);
}

void RunnerStandin::serveWork(const std::shared_ptr<HttpExchange> &exchange)
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
        recordRun(id);
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
    const std::uint64_t timerId = m_nextTimer++;
    m_timers[timerId]
        = std::make_unique<Timer>(m_daemon.loop(), [this, exchange, startedAt, timerId] {
              finish(exchange, startedAt);
              m_timers.erase(timerId);
          });
    m_timers[timerId]->startAt(startedAt + std::chrono::milliseconds(duration));
}

void RunnerStandin::recordRun(const std::string &id)
{
    ++m_runs[id];
    if (m_recordFile < 0)
        return;
    const std::string line = id + "\n";
    if (write(m_recordFile, line.data(), line.size()) != ssize_t(line.size()))
        std::abort();
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
    const std::string attempt(headerValue(exchange->request().headers, "x-attempt-id"));
    HttpResponse response{.body = exchange->request().body};
    if (!attempt.empty())
        response.headers.push_back({"x-attempt-id", attempt});
    exchange->reply(std::move(response));
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
