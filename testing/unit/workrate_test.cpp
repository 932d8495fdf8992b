#include "jobs/workrate.h"

#include <gtest/gtest.h>

#include <random>

namespace sequoiapier::jobs {
namespace {

using std::chrono::milliseconds;

class WorkRateTest : public testing::Test
{
protected:
    // Adds `perSecond` jobs a second with a mean work of 1 for `seconds` after `from`.
    void arrive(double perSecond, TimePoint from, double seconds)
    {
        std::exponential_distribution<double> gap(perSecond);
        std::exponential_distribution<double> work(1);
        for (double at = gap(m_random); at < seconds; at += gap(m_random))
            m_rate.add(work(m_random), from + milliseconds(std::int64_t(at * 1000)));
    }

    std::mt19937_64 m_random{20261204};
    TimePoint m_start{milliseconds(1'000'000)};
    WorkRate m_rate{{}};
};

TEST_F(WorkRateTest, NothingArrived)
{
    EXPECT_EQ(m_rate.perSecond(m_start), 0);
}

TEST_F(WorkRateTest, OneLargeJobCountsLessThanManySmallOnes)
{
    WorkRate many({});
    for (int i = 0; i < 100; ++i)
        many.add(1, m_start);
    m_rate.add(100, m_start);
    EXPECT_LT(m_rate.perSecond(m_start), 0.9 * many.perSecond(m_start));
}

TEST_F(WorkRateTest, WithFullCautionOneLargeJobIsNoRate)
{
    WorkRate rate({.standardErrors = 1});
    rate.add(100, m_start);
    EXPECT_EQ(rate.perSecond(m_start), 0);
}

// The demand rises from a twentieth of the mean to four times the mean of 6 jobs per second.
TEST_F(WorkRateTest, HalfOfARiseShowsWithinASecond)
{
    arrive(0.3, m_start, 10);
    const TimePoint rise = m_start + milliseconds(10'000);
    arrive(24, rise, 1);
    EXPECT_GE(m_rate.perSecond(rise + milliseconds(1'000)), 12);
}

TEST_F(WorkRateTest, AnEvenRateIsNotExceededByMuchOnAverage)
{
    double sum = 0;
    for (int second = 0; second < 200; ++second) {
        const TimePoint from = m_start + milliseconds(1'000 * second);
        arrive(24, from, 1);
        sum += m_rate.perSecond(from + milliseconds(1'000));
    }
    EXPECT_GT(sum / 200, 24 * 0.75);
    EXPECT_LT(sum / 200, 24 * 1.3);
}

TEST_F(WorkRateTest, ForgottenAfterTheLongestWindow)
{
    arrive(24, m_start, 5);
    EXPECT_GT(m_rate.perSecond(m_start + milliseconds(5'000)), 0);
    EXPECT_EQ(m_rate.perSecond(m_start + milliseconds(7'001)), 0);
}

} // namespace
} // namespace sequoiapier::jobs
