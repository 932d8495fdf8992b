// Compares the retry budget with unlimited retries and with none, for idempotent requests of which
// some attempts break off half way.
#include "bench/support/gatewaymodel.h"
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "gateway/requeststate.h"
#include "gateway/retrybudget.h"

#include <algorithm>
#include <random>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t SlotCount = 80;
constexpr Duration MeanRunTime = 100ms;
constexpr Duration FaultStart = 5s;
constexpr Duration FaultEnd = 35s;
constexpr Duration RunLength = 60s;
constexpr double OfferedLoad = 0.85;
constexpr Duration RequestTimeout = 2s;

struct Policy
{
    std::string label;
    RetryBudget::Options budget;
    unsigned maxAttempts = 3;
};

class RetryRun
{
public:
    RetryRun(const Policy &policy, double failureProbability)
        : m_policy(policy)
        , m_failureProbability(failureProbability)
        , m_start(m_time.now())
        , m_budget(policy.budget)
        , m_gateway(m_time, {.slots = SlotCount}, hooks())
    {
        scheduleArrival();
        repeat(m_time, 10ms, m_start + RunLength, [this] { m_gateway.poll(); });
        m_time.runUntil(m_start + RunLength);
    }

    double answeredFraction() const { return double(m_answered) / double(m_offered); }
    double attemptsPerRequest() const { return double(m_attempts) / double(m_offered); }
    double p99Milliseconds()
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies[m_latencies.size() * 99 / 100];
    }

private:
    bool isDuringFault() const
    {
        const Duration sinceStart = m_time.now() - m_start;
        return sinceStart >= FaultStart && sinceStart < FaultEnd;
    }

    GatewayModel::Hooks hooks()
    {
        GatewayModel::Hooks hooks;
        hooks.runTime = [this](const QueuedRequest &request) { return beginAttempt(request); };
        hooks.ended = [this](const QueuedRequest &request, TimePoint) { endAttempt(request); };
        hooks.refused
            = [this](const RefusedRequest &refused) { m_states.erase(refused.request.id); };
        return hooks;
    }

    Duration beginAttempt(const QueuedRequest &request)
    {
        RequestState &state = m_states.at(request.id);
        state.onStarted();
        state.tryBeginSend();
        m_attempts += isDuringFault() ? 1 : 0;
        m_attemptFails[request.id]
            = isDuringFault() && std::bernoulli_distribution(m_failureProbability)(m_random);
        std::exponential_distribution<double> distribution(1.0 / double(MeanRunTime.count()));
        return Duration(std::int64_t(distribution(m_random)) + 1);
    }

    void endAttempt(const QueuedRequest &request)
    {
        const bool fails = m_attemptFails[request.id];
        m_attemptFails.erase(request.id);
        const RequestStep step
            = m_states.at(request.id)
                  .onEvent(fails ? RequestEvent::ConnectionLost : RequestEvent::Answered);
        if (step.action == RequestAction::Retry && m_budget.tryTake(m_time.now())) {
            m_gateway.submit(request);
            return;
        }
        m_states.erase(request.id);
        if (fails)
            return;
        m_budget.onSuccess();
        const Duration sinceStart = request.arrival - m_start;
        if (sinceStart < FaultStart || sinceStart >= FaultEnd || m_time.now() > request.deadline)
            return;
        ++m_answered;
        m_latencies.push_back(
            std::chrono::duration<double, std::milli>(m_time.now() - request.arrival).count());
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> distribution(OfferedLoad * double(SlotCount)
                                                           / double(MeanRunTime.count()));
        m_time.after(Duration(std::int64_t(distribution(m_random)) + 1), [this] {
            m_offered += isDuringFault() ? 1 : 0;
            const std::uint64_t id = m_nextId++;
            m_states.emplace(
                id, RequestState({.isIdempotent = true, .maxAttempts = m_policy.maxAttempts}));
            m_gateway.submit({.id = id,
                              .team = "t",
                              .arrival = m_time.now(),
                              .deadline = m_time.now() + RequestTimeout});
            scheduleArrival();
        });
    }

    Policy m_policy;
    double m_failureProbability;
    VirtualTime m_time;
    std::mt19937_64 m_random{20261204};
    TimePoint m_start;
    RetryBudget m_budget;
    GatewayModel m_gateway;
    std::map<std::uint64_t, RequestState> m_states;
    std::map<std::uint64_t, bool> m_attemptFails;
    std::vector<double> m_latencies;
    std::uint64_t m_nextId = 0;
    std::uint64_t m_offered = 0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_answered = 0;
};

const RetryBudget::Options Unlimited{.perSuccess = 1e6, .perSecond = 1e6, .maxTokens = 1e6};

std::vector<Policy> policies()
{
    return {{"no retry", Unlimited, 1},
            {"unlimited, 3 attempts", Unlimited, 3},
            {"unlimited, 10 attempts", Unlimited, 10},
            {"budget 0.05", {.perSuccess = 0.05}},
            {"budget 0.1", {.perSuccess = 0.1}},
            {"budget 0.2", {.perSuccess = 0.2}}};
}

} // namespace

int main(int argc, char **argv)
{
    Report report("retrybudget", argc, argv);
    std::vector<ChartSeries> series;
    for (const Policy &policy : policies()) {
        series.push_back({.name = policy.label});
        for (const double failureProbability : {0.02, 0.05, 0.2, 0.4}) {
            RetryRun run(policy, failureProbability);
            report.add(policy.label + ", " + std::to_string(int(100 * failureProbability))
                           + " % of attempts fail",
                       {{"answered_pct", 100 * run.answeredFraction()},
                        {"attempts_per_request", run.attemptsPerRequest()},
                        {"p99_ms", run.p99Milliseconds()}});
            series.back().points.push_back(
                {100 * failureProbability, 100 * run.answeredFraction()});
        }
    }
    writeSvgChart(report.outputPath("retrybudget.svg"),
                  {.title = "Idempotent requests answered in time at 85 % load",
                   .xLabel = "attempts that fail (%)",
                   .yLabel = "answered (%)"},
                  series);
    return report.finish();
}
