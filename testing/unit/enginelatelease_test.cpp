// Tests of calls without an answer that are carried out seconds later at the runner's next life.
// They carry a lease on the former life's clock, which the next one shortens to the longest it
// grants, long after the owner has taken the call for lost.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LateHold : public testing::Test
{
protected:
    LateHold()
    {
        m_pool.setListed(1, false);
        m_pool.run(seconds(20));
        m_pool.runUntilReport(0);
        m_formerClock = m_pool.runner(0).clock(m_pool.time().now());
    }
    void submitLastingTask()
    {
        const jobs::StepSpec step{
            .count = 1, .size = {.processors = 1, .memory = 1}, .isLasting = true};
        m_pool.submit("a", {.payload = R"({"lasts": true})", .steps = {step}});
        m_pool.run(milliseconds(100));
        ASSERT_EQ(m_pool.ledger().runsOf("a").size(), 1U) << m_pool.trace();
    }
    void cutFirstRunner()
    {
        m_pool.setReachable(0, false);
        m_pool.setListed(1, true);
    }
    // The hold was sent to the life before, within its last moments.
    void carryOutLateHold()
    {
        ASSERT_TRUE(m_pool.runner(0).renew(1, 0, m_formerClock + 5'000, m_pool.time().now()));
    }
    void expectMovedWithoutOverlap()
    {
        m_pool.run(seconds(30));
        EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2U) << m_pool.trace();
        EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
    }

    EnginePool m_pool{{.runners = 2, .renewInterval = seconds(1)}};
    std::int64_t m_formerClock = 0;
};

TEST_F(LateHold, CarriedOutAfterTheRunnerWasCutOff)
{
    m_pool.restart(0);
    submitLastingTask();
    m_pool.runUntilReport(0);
    cutFirstRunner();
    m_pool.run(seconds(5));
    carryOutLateHold();
    expectMovedWithoutOverlap();
}

TEST_F(LateHold, CarriedOutBeforeTheFirstReportToTheNextOwner)
{
    m_pool.restart(0);
    m_pool.runUntilReport(0);
    m_pool.run(seconds(10));
    m_pool.replaceOwner(milliseconds(200));
    carryOutLateHold();
    m_pool.runUntilReport(0);
    submitLastingTask();
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

TEST_F(LateHold, CarriedOutBeforeTheRunnerIsListedAgain)
{
    m_pool.setListed(0, false); // The owner forgets the idle runner.
    m_pool.restart(0);
    m_pool.run(seconds(3));
    carryOutLateHold();
    m_pool.setListed(0, true);
    m_pool.runUntilReport(0);
    submitLastingTask();
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

// Two tasks start at the next life; the start of the second is carried out late.
TEST_F(LateHold, LeaseOfAnotherTasksLateStart)
{
    m_pool.restart(0);
    m_pool.run(milliseconds(1));
    submitLastingTask();
    cutFirstRunner();
    m_pool.run(seconds(4));
    carryOutLateHold();
    expectMovedWithoutOverlap();
}

} // namespace
} // namespace sequoiapier
