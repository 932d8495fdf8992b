#include "jobs/pacecontrol.h"
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using jobs::PaceControl;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Target = 100; // Milliseconds.

class PaceControlTest : public testing::Test
{
protected:
    void report(double tailRatio)
    {
        m_now += milliseconds(200);
        if (m_control.isDue(m_now))
            m_control.onTail(tailRatio, m_now);
    }

    PaceControl m_control{{}};
    TimePoint m_now{seconds(100)};
};

TEST_F(PaceControlTest, TailOverTheTargetStopsFillingTasks)
{
    report(1.2);
    EXPECT_EQ(m_control.percent(), 0U);
}

TEST_F(PaceControlTest, NearTheTargetTheShareIsHalvedOnceItsEffectCanShow)
{
    report(0.9);
    EXPECT_EQ(m_control.percent(), 50U);
    report(0.9);
    EXPECT_EQ(m_control.percent(), 50U);
    for (int i = 0; i < 3; ++i)
        report(0.9);
    EXPECT_EQ(m_control.percent(), 25U);
}

TEST_F(PaceControlTest, FarBelowItComesBackByStepsAndWithoutServingTasksAtOnce)
{
    report(1.2);
    for (int i = 0; i < 8; ++i)
        report(0.3);
    EXPECT_EQ(m_control.percent(), 20U);
    m_control.onNoServingTasks();
    EXPECT_EQ(m_control.percent(), 100U);
}

jobs::JobSpec lasting(std::uint32_t target, bool isFilling, const std::string &payload)
{
    jobs::StepSpec step{.size = {.processors = 2, .memory = 1}};
    step.isLasting = true;
    step.isFilling = isFilling;
    step.targetMilliseconds = target;
    return {.payload = payload, .steps = {step}};
}

// A serving task with a tail of 50 ms and a filling task that adds 80 ms at full pace share a
// runner, and some answers are lost.
TEST(Pace, ServingTaskIsUnderItsTargetBesideOneThatFills)
{
    EnginePool pool({.runners = 1});
    pool.setLostShare(0.2);
    pool.submit("serving", lasting(Target, false, R"({"lasts": true, "tailMs": 50})"));
    pool.submit("filling", lasting(0, true, R"({"lasts": true, "disturbMs": 80})"));
    Duration over{};
    Duration longestOver{};
    for (int i = 0; i < 600; ++i) {
        pool.run(milliseconds(50));
        over = pool.runner(0).longestTailLatency() > Target ? over + milliseconds(50) : Duration{};
        longestOver = std::max(longestOver, over);
    }
    EXPECT_LT(longestOver, seconds(4)); // Limit from the platform's documentation.
    EXPECT_LT(pool.runner(0).longestTailLatency(), Target);
    EXPECT_GT(pool.runner(0).disturbingPercent(), 0U);
    EXPECT_EQ(pool.violations(), "");
}

TEST(Pace, FillingTaskAvoidsRunnersWithServingOnes)
{
    EnginePool pool({.runners = 2});
    pool.submit("serving", lasting(Target, false, R"({"lasts": true, "tailMs": 50})"));
    pool.run(seconds(1));
    pool.submit("filling", lasting(0, true, R"({"lasts": true, "disturbMs": 80})"));
    pool.run(seconds(1));
    EXPECT_NE(pool.ledger().runsOf("serving").front().runner,
              pool.ledger().runsOf("filling").front().runner);
}

} // namespace
} // namespace sequoiapier
