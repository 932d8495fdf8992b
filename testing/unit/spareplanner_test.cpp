#include "fleet/spareplanner.h"
#include "fleet/swingforecast.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>

namespace sequoiapier {
namespace {

using Counts = std::array<std::uint32_t, 3>;

// Finds the least cost by trying all plans; a move takes one step.
class ExhaustivePlanner
{
public:
    ExhaustivePlanner(const SpareInput &input, const FleetWeights &weights)
        : m_input(input)
        , m_weights(weights)
    { }

    double cost(const Counts &hosts, std::size_t step)
    {
        if (step == m_input.pools.front().need.size())
            return 0;
        const auto found = m_bestCosts.find({hosts, step});
        if (found != m_bestCosts.end())
            return found->second;
        double best = 1e18;
        Counts stays{};
        for (stays[0] = 0; stays[0] <= hosts[0]; ++stays[0]) {
            for (stays[1] = 0; stays[1] <= hosts[1]; ++stays[1]) {
                for (stays[2] = 0; stays[2] <= hosts[2]; ++stays[2])
                    best = std::min(best, costAfter(hosts, stays, step));
            }
        }
        return m_bestCosts[{hosts, step}] = best;
    }

private:
    double costAfter(const Counts &hosts, const Counts &stays, std::size_t step)
    {
        std::uint32_t moves = 0;
        for (std::size_t pool = 0; pool < stays.size(); ++pool)
            moves += hosts[pool] - stays[pool];
        double best = 1e18;
        for (std::uint32_t a = 0; a <= moves; ++a) {
            for (std::uint32_t b = 0; a + b <= moves; ++b) {
                const Counts next{stays[0] + a, stays[1] + b, stays[2] + moves - a - b};
                best = std::min(best, cost(next, step + 1));
            }
        }
        return best + stepCost(stays, moves, step);
    }

    double stepCost(const Counts &stays, std::uint32_t moves, std::size_t step) const
    {
        double cost = moves * (m_weights.move + m_weights.buffer * m_input.stepSeconds);
        for (std::size_t pool = 0; pool < stays.size(); ++pool) {
            const double surplus = double(stays[pool]) - m_input.pools[pool].need[step];
            const double price = m_input.pools[pool].isStandby ? 0 : m_weights.buffer;
            cost += m_input.stepSeconds
                * (surplus > 0 ? surplus * price : -surplus * m_weights.share);
        }
        return cost;
    }

    const SpareInput &m_input;
    const FleetWeights &m_weights;
    std::map<std::pair<Counts, std::size_t>, double> m_bestCosts;
};

RC_GTEST_PROP(SparePlanner, FindsTheLeastCostOfAllPlans, ())
{
    SpareInput input{.pools = std::vector<PoolForecast>(3), .stepSeconds = 1, .moveSteps = 1};
    Counts hosts{};
    for (std::size_t pool = 0; pool < 3; ++pool) {
        hosts[pool] = *rc::gen::inRange(0U, 3U);
        input.pools[pool].hosts = hosts[pool];
        input.pools[pool].isStandby = pool == 2;
        input.pools[pool].need = pool == 2
            ? std::vector<std::uint32_t>(5)
            : *rc::gen::container<std::vector<std::uint32_t>>(5, rc::gen::inRange(0U, 4U));
    }
    const FleetWeights weights{.buffer = double(*rc::gen::inRange(0, 4)),
                               .share = double(*rc::gen::inRange(0, 12)),
                               .move = double(*rc::gen::inRange(0, 6))};
    const SparePlan plan = planHostTransfers(input, weights);
    RC_ASSERT(std::abs(plan.cost(weights) - ExhaustivePlanner(input, weights).cost(hosts, 0))
              < 1e-6);
    Counts left = hosts;
    for (const HostTransfer &transfer : plan.now) {
        RC_ASSERT(transfer.from != transfer.to && transfer.count <= left[transfer.from]);
        left[transfer.from] -= transfer.count;
    }
}

TEST(SparePlanner, KeepsHostsThatAreNeededAgainBeforeAMovePays)
{
    SpareInput input{.pools = std::vector<PoolForecast>(2), .stepSeconds = 1, .moveSteps = 1};
    input.pools[0] = {.hosts = 5, .need = {1, 1, 1, 5, 5, 5, 5, 5, 5, 5, 5, 5}};
    input.pools[1] = {.need = std::vector<std::uint32_t>(12), .isStandby = true};
    EXPECT_TRUE(planHostTransfers(input, {.buffer = 1, .share = 20, .move = 10}).now.empty());
    input.pools[0].need.assign(12, 1);
    const SparePlan plan = planHostTransfers(input, {.buffer = 1, .share = 20, .move = 2});
    ASSERT_EQ(plan.now.size(), 1U);
    EXPECT_EQ(plan.now.front().count, 4U);
    EXPECT_EQ(plan.now.front().to, 1U);
}

TEST(FleetWeights, ProfilesWeighMaintenanceAgainstBuffer)
{
    const FleetWeights *association = findFleetProfile("association");
    const FleetWeights *works = findFleetProfile("barometer-works");
    ASSERT_TRUE(association != nullptr && works != nullptr);
    EXPECT_EQ(findFleetProfile("nobody"), nullptr);
    EXPECT_LT(waveMaxOut(*association, 6), waveMaxOut(*works, 6));
    EXPECT_EQ(waveMaxOut(*association, 1), 1U);
}

TEST(SwingForecast, ExpectsTheNextRise)
{
    using namespace std::chrono_literals;
    SwingForecast forecast({});
    const TimePoint start{1h};
    const auto needAt = [](Duration time) { return time % 25s < 5s ? 25U : 1U; };
    Duration time = 0s;
    for (; time < 115s; time += 500ms)
        forecast.observe(needAt(time), start + time);
    const TimePoint now = start + time - 500ms;
    ASSERT_TRUE(forecast.isLearned());
    EXPECT_EQ(forecast.at(now, now), 1U);
    EXPECT_NEAR(forecast.at(start + 118s, now), 1, 1);
    EXPECT_NEAR(forecast.at(start + 127s, now), 25, 1);
    EXPECT_NEAR(forecast.at(start + 135s, now), 1, 1);
    EXPECT_NEAR(forecast.at(start + 152s, now), 25, 1);
}

} // namespace
} // namespace sequoiapier
