#include "sequoiapier/maxminshare.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace sequoiapier {
namespace {

// Reference implementation that distributes one unit at a time.
std::vector<std::int64_t> naiveShare(std::int64_t capacity, const std::vector<ShareDemand> &demands)
{
    std::vector<std::int64_t> shares(demands.size(), 0);
    for (; capacity > 0; --capacity) {
        std::size_t best = demands.size();
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (shares[i] >= demands[i].wanted)
                continue;
            if (best == demands.size()
                || (shares[i] + 1) * demands[best].weight < (shares[best] + 1) * demands[i].weight)
                best = i;
        }
        if (best == demands.size())
            break;
        ++shares[best];
    }
    return shares;
}

TEST(MaxMinShare, EqualsOneUnitAtATimeOnAllSmallInputs)
{
    constexpr int MaxWanted = 5;
    constexpr int MaxWeight = 3;
    constexpr int Kinds = (MaxWanted + 1) * MaxWeight;
    const auto demandOf = [](int kind) {
        return ShareDemand{kind % (MaxWanted + 1), std::uint32_t(1 + kind / (MaxWanted + 1))};
    };
    int count = 0;
    for (int inputs = 0; inputs < Kinds * Kinds * Kinds; ++inputs) {
        const std::vector<ShareDemand> demands{demandOf(inputs % Kinds),
                                               demandOf(inputs / Kinds % Kinds),
                                               demandOf(inputs / Kinds / Kinds)};
        for (std::int64_t capacity = 0; capacity <= 3 * MaxWanted; ++capacity, ++count)
            ASSERT_EQ(maxMinShare(capacity, demands), naiveShare(capacity, demands)) << inputs;
    }
    EXPECT_EQ(count, Kinds * Kinds * Kinds * 16);
}

RC_GTEST_PROP(MaxMinShare, EqualsOneUnitAtATime, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 65);
    std::vector<ShareDemand> demands(size);
    for (ShareDemand &demand : demands) {
        demand.wanted = *rc::gen::inRange<std::int64_t>(0, 60);
        demand.weight = *rc::gen::inRange<std::uint32_t>(1, 100);
    }
    const auto capacity = *rc::gen::inRange<std::int64_t>(0, 2'000);
    RC_ASSERT(maxMinShare(capacity, demands) == naiveShare(capacity, demands));
}

TEST(MaxMinShare, LargeNumbersDoNotOverflow)
{
    const std::vector<ShareDemand> demands{{1LL << 40, 1'000'000}, {1LL << 40, 1}, {-5, 0}};
    const std::vector<std::int64_t> shares = maxMinShare(1LL << 40, demands);
    EXPECT_EQ(std::accumulate(shares.begin(), shares.end(), 0LL), 1LL << 40);
    EXPECT_EQ(shares[2], 0);
}

} // namespace
} // namespace sequoiapier
