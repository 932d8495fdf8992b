// RunnerStandin simulates an upstream runner with a bounded number of slots and connections.
//
// POST /work runs for the milliseconds given by the header `x-work-ms`, else by a body "work-ms=N"
// (gateways forward no headers), else for the default time, and echoes the body. A request that
// exceeds the slots, or arrives while the runner is leaving, is refused with 503 before it runs.
//
// GET /record returns the number of runs by request identifier as JSON, and the numbers of running
// and refused requests. Each run is also appended to `recordFile`, one line per run, before it
// starts, so that the record survives a kill. GET /spans returns the last MaxSpans runs with start
// and end in microseconds of CLOCK_BOOTTIME.
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
    std::string recordFile; // Empty: no file is written.
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

    void serveWork(const std::shared_ptr<HttpExchange> &exchange);
    void recordRun(const std::string &id);
    void finish(const std::shared_ptr<HttpExchange> &exchange, TimePoint startedAt);
    void serveSpans(const std::shared_ptr<HttpExchange> &exchange) const;
    void serveRecord(const std::shared_ptr<HttpExchange> &exchange) const;

    Daemon &m_daemon;
    RunnerSettings m_settings;
    Faults m_faults;
    std::int64_t m_running = 0;
    std::int64_t m_peakRunning = 0;
    std::uint64_t m_refused = 0;
    std::map<std::string, int> m_runs; // Run counts by request identifier.
    int m_recordFile = -1;
    std::deque<Span> m_spans; // Spans of ended runs, oldest first.
    std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
    std::uint64_t m_nextTimer = 0;
    HttpServer m_server;
};

} // namespace sequoiapier
