// RunnerStandin: an upstream runner with a bounded number of slots and connections.
//
// POST /work runs for `x-work-ms` milliseconds, or those that a body "work-ms=N" tells (a gateway
// passes no header on), or the default, and echoes the body. It keeps a record of every run by
// request identifier, served as JSON at GET /record and appended to `recordFile`, a line each,
// before the run, so that it outlives a kill; and the last MaxSpans runs with their start and end,
// in microseconds of CLOCK_BOOTTIME, at GET /spans. A request past the slots or while leaving is
// refused with 503 before it runs.
#pragma once

#include "cli/daemon.h"
#include "testing/standin/faults.h"

#include <deque>
#include <map>

namespace sequoiapier {

struct RunnerSettings
{
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    std::int64_t workMilliseconds = 0;
    std::int64_t workPort = 0;
    std::string workAddress = "127.0.0.1";
    std::string recordFile; // empty: none
};

class RunnerStandin
{
public:
    RunnerStandin(Daemon &daemon, const RunnerSettings &settings);

    ~RunnerStandin();
    RunnerStandin(const RunnerStandin &) = delete;
    RunnerStandin &operator=(const RunnerStandin &) = delete;

    bool isListening() const { return m_server.isListening(); }

private:
    static constexpr std::size_t MaxSpans = 20'000;

    struct Span
    {
        std::string requestId;
        TimePoint start;
        TimePoint end;
    };

    void work(const std::shared_ptr<HttpExchange> &exchange);
    void record(const std::string &id);
    void finish(const std::shared_ptr<HttpExchange> &exchange, TimePoint startedAt);
    void serveSpans(const std::shared_ptr<HttpExchange> &exchange) const;
    void serveRecord(const std::shared_ptr<HttpExchange> &exchange) const;

    Daemon &m_daemon;
    RunnerSettings m_settings;
    Faults m_faults;
    std::int64_t m_running = 0;
    std::int64_t m_peakRunning = 0;
    std::uint64_t m_refused = 0;
    std::map<std::string, int> m_runs; // by request identifier
    int m_recordFile = -1;
    std::deque<Span> m_spans; // of ended runs
    std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
    std::uint64_t m_nextTimer = 0;
    HttpServer m_server;
};

} // namespace sequoiapier
