#include "jobs/sharemeter.h"

#include <gtest/gtest.h>

namespace sequoiapier::jobs {
namespace {

using std::chrono::milliseconds;

int taken(ShareMeter &meter, int jobs, int gapMilliseconds, std::uint32_t perSecond,
          TimePoint start)
{
    int count = 0;
    for (int i = 0; i < jobs; ++i)
        count += meter.take("depots", perSecond, start + milliseconds(i * gapMilliseconds)) ? 1 : 0;
    return count;
}

TEST(ShareMeter, AnEvenFlowAtTheShareLiesWithinIt)
{
    ShareMeter meter({});
    EXPECT_EQ(taken(meter, 100, 100, 10, TimePoint{}), 100);
}

TEST(ShareMeter, FlowAtTenTimesTheSharePassesOneTenthAndTheBurst)
{
    ShareMeter meter({});
    EXPECT_EQ(taken(meter, 1'000, 10, 10, TimePoint{}), 10 + 99);
}

TEST(ShareMeter, NoMoreIsSavedThanOneSecondsWorth)
{
    ShareMeter meter({});
    EXPECT_EQ(taken(meter, 50, 0, 10, TimePoint{}), 10);
    EXPECT_EQ(taken(meter, 50, 0, 10, TimePoint{milliseconds(60'000)}), 10);
}

TEST(ShareMeter, TeamsDoNotShareWhatTheySave)
{
    ShareMeter meter({});
    EXPECT_EQ(taken(meter, 50, 0, 10, TimePoint{}), 10);
    EXPECT_TRUE(meter.take("offices", 1, TimePoint{}));
}

} // namespace
} // namespace sequoiapier::jobs
