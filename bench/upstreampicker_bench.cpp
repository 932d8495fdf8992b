// Compares choices of a runner (least loaded of two, round robin, least loaded of all) with one
// slow runner and eight gateways that do not know each other's load. Also measures the ejection
// threshold with one runner that fails every request at once.
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "gateway/upstreampicker.h"
#include "testing/support/virtualtime.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t RunnerCount = 10;
constexpr std::uint32_t SlotsPerRunner = 8;
constexpr std::size_t GatewayCount = 8;
constexpr Duration MeanRunTime = 100ms;
constexpr Duration FailedRunTime = 1ms;
constexpr Duration RunLength = 60s;

struct Scenario
{
    std::string label;
    UpstreamPicker::Options options;
    double load = 0.7;
    double slowFactor = 1; // run time factor of runner 0
    double firstFailureProbability = 0; // probability that runner 0 fails a request
    double otherFailureProbability = 0; // probability that another runner fails a request
};

// A runner with its slots and the requests that wait inside it for a slot.
struct Runner
{
    std::uint32_t busy = 0;
    std::deque<std::function<void()>> waiting;
};

class PickerRun
{
public:
    explicit PickerRun(const Scenario &scenario)
        : m_scenario(scenario)
    {
        std::vector<UpstreamRunner> runnerLimits;
        for (std::size_t i = 0; i < RunnerCount; ++i)
            runnerLimits.push_back({.name = std::to_string(i), .slots = SlotsPerRunner});
        for (std::size_t i = 0; i < GatewayCount; ++i) {
            m_pickers.emplace_back(scenario.options, i + 1);
            m_pickers.back().setRunners(runnerLimits);
        }
        m_end = m_time.now() + RunLength;
        scheduleArrival();
        m_time.runUntil(m_end + 5s);
        std::sort(m_latencies.begin(), m_latencies.end());
    }

    double quantileMilliseconds(double quantile) const
    {
        return m_latencies.empty()
            ? 0
            : m_latencies[std::size_t(quantile * double(m_latencies.size() - 1))];
    }
    double failedFraction() const { return double(m_failed) / double(m_offered); }
    double refusedFraction() const { return double(m_refused) / double(m_offered); }
    // Fraction of the picks at which a healthy runner was ejected.
    double falseEjectionFraction() const { return m_falseEjections / double(m_offered); }

private:
    void scheduleArrival()
    {
        const double slots = m_scenario.load * double(RunnerCount * SlotsPerRunner);
        std::exponential_distribution<double> distribution(slots / double(MeanRunTime.count()));
        m_time.after(Duration(std::int64_t(distribution(m_random)) + 1), [this] {
            if (m_time.now() >= m_end)
                return;
            dispatchRequest();
            scheduleArrival();
        });
    }

    void dispatchRequest()
    {
        ++m_offered;
        std::uniform_int_distribution<std::size_t> anyGateway(0, GatewayCount - 1);
        UpstreamPicker &picker = m_pickers[anyGateway(m_random)];
        for (std::size_t i = 1; i < RunnerCount; ++i)
            m_falseEjections
                += picker.isEjected(std::to_string(i), m_time.now()) ? 1.0 / (RunnerCount - 1) : 0;
        const auto name = picker.pick(m_time.now());
        if (!name) {
            ++m_refused;
            return;
        }
        picker.onStarted(*name);
        const std::size_t index = std::stoul(std::string(*name));
        startOrQueue(
            index, [this, &picker, index, arrived = m_time.now()] { run(picker, index, arrived); });
    }

    void startOrQueue(std::size_t index, std::function<void()> work)
    {
        Runner &runner = m_runners[index];
        if (runner.busy == SlotsPerRunner) {
            runner.waiting.push_back(std::move(work));
            return;
        }
        ++runner.busy;
        work();
    }

    void run(UpstreamPicker &picker, std::size_t index, TimePoint arrived)
    {
        const double failureProbability
            = index == 0 ? m_scenario.firstFailureProbability : m_scenario.otherFailureProbability;
        const bool fails = std::bernoulli_distribution(failureProbability)(m_random);
        std::exponential_distribution<double> distribution(1.0 / double(MeanRunTime.count()));
        const double factor = index == 0 ? m_scenario.slowFactor : 1;
        const Duration runTime
            = fails ? FailedRunTime : Duration(std::int64_t(factor * distribution(m_random)) + 1);
        m_time.after(runTime, [this, &picker, index, arrived, fails] {
            const auto outcome = fails ? UpstreamOutcome::Failed : UpstreamOutcome::Answered;
            picker.onEnded(std::to_string(index), outcome, m_time.now());
            const std::chrono::duration<double, std::milli> latency = m_time.now() - arrived;
            if (fails)
                ++m_failed;
            else
                m_latencies.push_back(latency.count());
            releaseSlot(index);
        });
    }

    void releaseSlot(std::size_t index)
    {
        Runner &runner = m_runners[index];
        if (runner.waiting.empty()) {
            --runner.busy;
            return;
        }
        const std::function<void()> next = std::move(runner.waiting.front());
        runner.waiting.pop_front();
        next();
    }

    Scenario m_scenario;
    VirtualTime m_time;
    std::mt19937_64 m_random{20261204};
    std::vector<UpstreamPicker> m_pickers;
    std::array<Runner, RunnerCount> m_runners;
    TimePoint m_end;
    std::vector<double> m_latencies;
    std::uint64_t m_offered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    double m_falseEjections = 0;
};

ChartSeries sweepChoices(Report &report)
{
    using enum UpstreamPicker::Choice;
    const std::array<std::pair<std::string, UpstreamPicker::Choice>, 3> choices{
        {{"round robin", RoundRobin}, {"least of two", LeastOfTwo}, {"least of all", LeastOfAll}}};
    ChartSeries series{.name = "p99"};
    for (const auto &[load, slowFactor] :
         {std::pair{0.7, 1.0}, {0.7, 5.0}, {0.9, 1.0}, {0.85, 3.0}}) {
        for (const auto &[name, choice] : choices) {
            const PickerRun run(
                {.options = {.choice = choice}, .load = load, .slowFactor = slowFactor});
            report.add(name + ", load " + std::to_string(std::lround(100 * load)) + " %, runner 0 "
                           + std::to_string(int(slowFactor)) + " times as slow",
                       {{"p50_ms", run.quantileMilliseconds(0.5)},
                        {"p99_ms", run.quantileMilliseconds(0.99)},
                        {"refused_pct", 100 * run.refusedFraction()}});
            series.points.push_back(
                {double(series.points.size() + 1), run.quantileMilliseconds(0.99)});
        }
    }
    return series;
}

void sweepEjection(Report &report)
{
    for (const double firstFailureProbability : {1.0, 0.5}) {
        for (const unsigned ejectAfter : {0U, 1U, 3U, 5U, 10U}) {
            const PickerRun run({.options = {.ejectAfter = ejectAfter},
                                 .firstFailureProbability = firstFailureProbability,
                                 .otherFailureProbability = 0.02});
            const PickerRun healthyRun({.options = {.ejectAfter = ejectAfter},
                                        .firstFailureProbability = 0.02,
                                        .otherFailureProbability = 0.02});
            report.add("eject after " + std::to_string(ejectAfter) + ", runner 0 fails "
                           + std::to_string(int(100 * firstFailureProbability)) + " %",
                       {{"failed_pct", 100 * run.failedFraction()},
                        {"sound_ejected_pct", 100 * healthyRun.falseEjectionFraction()},
                        {"p99_ms", run.quantileMilliseconds(0.99)}});
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    Report report("upstreampicker", argc, argv);
    const ChartSeries series = sweepChoices(report);
    sweepEjection(report);
    writeSvgChart(
        report.outputPath("upstreampicker.svg"),
        {.title = "Round robin, least of two, least of all", .xLabel = "row", .yLabel = "p99 (ms)"},
        std::vector{series});
    return report.finish();
}
