// Compares the buffer and moves of the spare planner, over the demand swings of five queues and 50
// hosts, with the least-cost plan that knows the whole input. Charts the trade-off for both
// profiles.
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "fleet/spareplanner.h"
#include "fleet/swingforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sequoiapier {
namespace {

constexpr std::size_t QueueCount = 5;
constexpr double StepSeconds = 0.5;
constexpr std::size_t MoveSteps = 4;
constexpr std::size_t WarmUpSteps = 400; // the forecast learns in these steps
constexpr std::size_t MeasuredSteps = 1'200;
constexpr std::size_t HorizonSteps = 64;

// Hosts that each queue needs at each step: five times its mean during its peak, a twentieth of the
// mean otherwise.
std::vector<std::vector<std::uint32_t>> simulateNeeds(double meanHosts, double jitter,
                                                      std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> factor(1 - jitter, 1 + jitter);
    const auto hosts = [&](double meanFactor) {
        return std::uint32_t(std::ceil(meanHosts * meanFactor * factor(random)));
    };
    std::vector<std::vector<std::uint32_t>> needs(QueueCount);
    for (std::size_t queue = 0; needs[0].size() < WarmUpSteps + MeasuredSteps;
         queue = (queue + 1) % QueueCount) {
        const auto steps = std::size_t(std::lround(10 * factor(random)));
        const std::uint32_t peakHosts = hosts(5);
        for (std::size_t step = 0; step < steps; ++step) {
            for (std::size_t other = 0; other < QueueCount; ++other)
                needs[other].push_back(other == queue ? peakHosts : hosts(1.0 / 20));
        }
    }
    return needs;
}

struct SpareOutcome
{
    double bufferSeconds = 0;
    double shortSeconds = 0;
    double moves = 0;

    double cost(const FleetWeights &weights) const
    {
        return weights.buffer * bufferSeconds + weights.share * shortSeconds + weights.move * moves;
    }
};

// Simulates the fleet under the planner, whose forecasts learn only from the need up to now.
class SpareFleet
{
public:
    SpareFleet(const FleetWeights &weights, std::vector<std::vector<std::uint32_t>> needs)
        : m_weights(weights)
        , m_needs(std::move(needs))
        , m_forecasts(QueueCount, SwingForecast({}))
        , m_arriving(QueueCount + 1, std::vector<std::uint32_t>(m_needs[0].size() + MoveSteps + 1))
        , m_hosts(QueueCount + 1, 8)
    {
        m_hosts[0] = 10;
    }

    SpareOutcome run()
    {
        for (std::size_t step = 0; step < WarmUpSteps + MeasuredSteps; ++step) {
            if (step == WarmUpSteps)
                m_boundInput = input(step, true);
            tick(step);
        }
        return m_outcome;
    }

    // Computes the reference plan from the same hosts, with the need of the measured steps known.
    SparePlan bound() const { return planHostTransfers(m_boundInput, m_weights); }

private:
    void tick(std::size_t step)
    {
        const TimePoint now = timeOf(step);
        for (std::size_t pool = 0; pool <= QueueCount; ++pool)
            m_hosts[pool] += m_arriving[pool][step];
        for (std::size_t queue = 0; queue < QueueCount; ++queue)
            m_forecasts[queue].observe(m_needs[queue][step], now);
        const SparePlan plan = planHostTransfers(input(step, false), m_weights);
        for (const HostTransfer &transfer : plan.now) {
            m_hosts[transfer.from] -= transfer.count;
            m_arriving[transfer.to][step + MoveSteps] += transfer.count;
            if (step >= WarmUpSteps)
                m_outcome.moves += transfer.count;
        }
        if (step >= WarmUpSteps)
            measure(step);
    }

    static TimePoint timeOf(std::size_t step)
    {
        return TimePoint(std::chrono::hours(1))
            + std::chrono::milliseconds(std::int64_t(1'000 * StepSeconds) * std::int64_t(step));
    }

    SpareInput input(std::size_t step, bool knowsFuture) const
    {
        SpareInput input{.stepSeconds = StepSeconds, .moveSteps = MoveSteps};
        const std::size_t steps = knowsFuture ? MeasuredSteps : HorizonSteps;
        for (std::size_t pool = 0; pool <= QueueCount; ++pool) {
            PoolForecast forecast{.hosts = m_hosts[pool], .isStandby = pool == QueueCount};
            forecast.arriving.resize(MoveSteps + 1);
            for (std::size_t i = knowsFuture ? 0 : 1; i <= MoveSteps; ++i)
                forecast.arriving[i] = m_arriving[pool][step + i];
            for (std::size_t i = 0; i < steps; ++i)
                forecast.need.push_back(pool == QueueCount ? 0 : need(pool, step, i, knowsFuture));
            input.pools.push_back(std::move(forecast));
        }
        return input;
    }

    std::uint32_t need(std::size_t queue, std::size_t step, std::size_t ahead,
                       bool knowsFuture) const
    {
        return knowsFuture ? m_needs[queue][step + ahead]
                           : m_forecasts[queue].at(timeOf(step + ahead), timeOf(step));
    }

    void measure(std::size_t step)
    {
        double inTransit = 0;
        for (std::size_t pool = 0; pool <= QueueCount; ++pool) {
            for (std::size_t i = 1; i <= MoveSteps; ++i)
                inTransit += m_arriving[pool][step + i];
        }
        m_outcome.bufferSeconds += inTransit * StepSeconds;
        for (std::size_t queue = 0; queue < QueueCount; ++queue) {
            const double surplus = double(m_hosts[queue]) - m_needs[queue][step];
            m_outcome.bufferSeconds += std::max(0.0, surplus) * StepSeconds;
            m_outcome.shortSeconds += std::max(0.0, -surplus) * StepSeconds;
        }
    }

    FleetWeights m_weights;
    std::vector<std::vector<std::uint32_t>> m_needs;
    std::vector<SwingForecast> m_forecasts;
    std::vector<std::vector<std::uint32_t>> m_arriving; // number of hosts by pool and step
    std::vector<std::uint32_t> m_hosts;
    SpareInput m_boundInput;
    SpareOutcome m_outcome;
};

SpareOutcome measureSpare(Report &report, const std::string &label, const FleetWeights &weights,
                          double jitter)
{
    SpareFleet fleet(weights, simulateNeeds(5, jitter, 11));
    const SpareOutcome outcome = fleet.run();
    const SparePlan bound = fleet.bound();
    report.add("spare " + label,
               {{"buffer_host_s", outcome.bufferSeconds},
                {"buffer_ratio", outcome.bufferSeconds / bound.bufferSeconds},
                {"moves", outcome.moves},
                {"moves_ratio", outcome.moves / double(bound.moves)},
                {"short_host_s", outcome.shortSeconds},
                {"bound_short_host_s", bound.shortSeconds},
                {"cost_ratio", outcome.cost(weights) / bound.cost(weights)}});
    return outcome;
}

// Charts the buffer over the moves as the price of a move increases from that of each profile.
void measureSpares(Report &report)
{
    std::vector<ChartSeries> series;
    for (const FleetWeights &profile : FleetProfiles) {
        const std::string name(profile.name);
        for (const double jitter : {0.0, 0.1, 0.2})
            measureSpare(report, name + " jitter=" + std::to_string(jitter).substr(0, 3), profile,
                         jitter);
        ChartSeries line{.name = name};
        for (const double factor : {0.25, 0.5, 1.0, 2.0, 4.0, 8.0}) {
            FleetWeights weights = profile;
            weights.move *= factor;
            const SpareOutcome outcome = measureSpare(
                report, name + " move price x" + std::to_string(factor).substr(0, 4), weights, 0.1);
            line.points.push_back({outcome.moves, outcome.bufferSeconds});
        }
        std::sort(line.points.begin(), line.points.end(),
                  [](const ChartPoint &a, const ChartPoint &b) { return a.x < b.x; });
        series.push_back(std::move(line));
    }
    writeSvgChart(report.outputPath("spare.svg"),
                  {.title = "Buffer against moves over 600 s of swings",
                   .xLabel = "moves",
                   .yLabel = "buffer, host-seconds"},
                  series);
}

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    sequoiapier::Report report("spare", argc, argv);
    sequoiapier::measureSpares(report);
    return report.finish();
}
