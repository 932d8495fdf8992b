#include "testing/support/loadclient.h"

#include "net/httpclient.h"
#include "net/timer.h"

#include <algorithm>
#include <memory>

namespace sequoiapier {

namespace {

class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
        , m_loop({})
        , m_http(m_loop,
                 {.maxConnections = options.concurrency * (options.ports.size() + 1),
                  .keptHeaders = {"x-run-state"}})
    {
        m_latencies.reserve(options.requestCount);
    }

    LoadResult run()
    {
        m_start = BootClock::now();
        for (unsigned slot = 0; slot < m_options.concurrency; ++slot) {
            m_timers.push_back(std::make_unique<Timer>(m_loop, [this, slot] { send(slot); }));
            scheduleNext(slot);
        }
        m_loop.run();
        return summarize();
    }

private:
    void scheduleNext(unsigned slot)
    {
        if (m_startedCount == m_options.requestCount) {
            if (m_endedCount == m_options.requestCount)
                m_loop.stop();
            return;
        }
        TimePoint due = BootClock::now();
        if (m_options.requestsPerSecond > 0) {
            const double offset = m_startedCount / m_options.requestsPerSecond * 1e6;
            due = std::max(due, m_start + Duration(std::int64_t(offset)));
        }
        ++m_startedCount;
        if (due > BootClock::now())
            m_timers[slot]->startAt(due);
        else
            send(slot);
    }

    // Round robin over the ports that are not left out.
    std::uint16_t choosePort(std::size_t index) const
    {
        const std::size_t count = m_options.ports.size();
        for (std::size_t i = 0; i < count && m_options.isLeftOut; ++i) {
            if (!m_options.isLeftOut(m_options.ports[(index + i) % count]))
                return m_options.ports[(index + i) % count];
        }
        return m_options.ports[index % count];
    }

    void send(unsigned slot)
    {
        const unsigned index = m_sentCount++;
        if (m_options.onStart)
            m_options.onStart(index);
        LoadOutcome outcome{.port = choosePort(index), .sentAt = BootClock::now()};
        if (!m_options.requestIdPrefix.empty())
            outcome.requestId = m_options.requestIdPrefix + std::to_string(index);
        sendAttempt(slot, outcome, Duration{});
    }

    void sendAttempt(unsigned slot, const LoadOutcome &outcome, Duration age)
    {
        HttpCall call{.address = "127.0.0.1", .port = outcome.port};
        call.deadline = outcome.sentAt + m_options.deadline;
        call.request = {.method = "POST",
                        .path = m_options.path,
                        .headers = m_options.headers,
                        .body = std::string(m_options.bodyBytes, 'b')};
        if (!outcome.requestId.empty())
            call.request.headers.push_back({"x-request-id", outcome.requestId});
        if (outcome.isRepeat) {
            call.request.headers.push_back(
                {"x-request-age-ms", std::to_string(age.count() / 1'000 + 1)});
        }
        m_http.call(std::move(call), [this, slot, outcome](const HttpAnswer &answer) {
            onAnswer(answer, outcome);
            if (!outcome.isRepeat && shouldRepeat(answer)) {
                repeat(slot, outcome);
                return;
            }
            ++m_endedCount;
            scheduleNext(slot);
        });
    }

    bool shouldRepeat(const HttpAnswer &answer) const
    {
        if (answer.outcome != HttpOutcome::Answered)
            return m_options.repeatsUnanswered;
        return m_options.repeatsRefused
            && headerValue(answer.response.headers, "x-run-state") == "not-run";
    }

    void repeat(unsigned slot, const LoadOutcome &first)
    {
        const auto port = std::find(m_options.ports.begin(), m_options.ports.end(), first.port);
        const std::uint16_t nextPort = choosePort(std::size_t(port - m_options.ports.begin()) + 1);
        const TimePoint now = BootClock::now();
        sendAttempt(
            slot, {.requestId = first.requestId, .port = nextPort, .sentAt = now, .isRepeat = true},
            now - first.sentAt);
    }

    void onAnswer(const HttpAnswer &answer, LoadOutcome outcome)
    {
        outcome.outcome = answer.outcome;
        outcome.status = answer.response.status;
        outcome.runState = headerValue(answer.response.headers, "x-run-state");
        outcome.microseconds = double((BootClock::now() - outcome.sentAt).count());
        m_latencies.push_back(outcome.microseconds);
        const bool isOk = answer.outcome == HttpOutcome::Answered && outcome.status == 200;
        (isOk ? m_result.okCount : m_result.otherCount) += 1;
        m_result.outcomes.push_back(std::move(outcome));
    }

    LoadResult summarize()
    {
        const double seconds = double((BootClock::now() - m_start).count()) / 1e6;
        std::sort(m_latencies.begin(), m_latencies.end());
        m_result.requestsPerSecond = double(m_latencies.size()) / seconds;
        m_result.p50Microseconds = m_latencies[m_latencies.size() / 2];
        m_result.p99Microseconds = m_latencies[m_latencies.size() * 99 / 100];
        return m_result;
    }

    LoadOptions m_options;
    Loop m_loop;
    HttpClient m_http;
    std::vector<std::unique_ptr<Timer>> m_timers;
    TimePoint m_start;
    unsigned m_startedCount = 0;
    unsigned m_sentCount = 0;
    unsigned m_endedCount = 0;
    std::vector<double> m_latencies; // in microseconds
    LoadResult m_result;
};

} // namespace

LoadResult runLoad(const LoadOptions &options)
{
    LoadRun run(options);
    return run.run();
}

} // namespace sequoiapier
