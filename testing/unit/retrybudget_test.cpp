#include "gateway/retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(RetryBudget, RetriesStayWithinFractionOfSuccesses, ())
{
    const TimePoint start{1h};
    RetryBudget budget({.perSuccess = 0.125, .perSecond = 2, .maxTokens = 5});
    budget.tryTake(start);
    double bound = 5;
    double taken = 0;
    TimePoint now = start;
    for (int step = 0; step < 200; ++step) {
        const auto gap = std::chrono::milliseconds(*rc::gen::inRange(0, 100));
        now += gap;
        bound += 2 * std::chrono::duration<double>(gap).count();
        if (*rc::gen::arbitrary<bool>()) {
            budget.onSuccess();
            bound += 0.125;
        } else {
            taken += budget.tryTake(now) ? 1 : 0;
        }
        RC_ASSERT(taken <= bound + 1e-6);
    }
}

TEST(RetryBudget, TrickleRefillsWithoutSuccesses)
{
    const TimePoint start{1h};
    RetryBudget budget({.perSecond = 1, .maxTokens = 1});
    EXPECT_TRUE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start + 900ms));
    EXPECT_TRUE(budget.tryTake(start + 1100ms));
}

} // namespace
} // namespace sequoiapier
