// Tests of runners that are reserved for lasting tasks without room. A reservation keeps a runner
// free of all other work, so that one that can't come true, or that never ends, would stop a small
// pool for the other jobs.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using jobs::JobPhase;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Timeout = seconds(60);

jobs::JobSpec lasting(double processors)
{
    jobs::StepSpec step{.count = 1, .size = {.processors = processors, .memory = 1}};
    step.isLasting = true;
    return {.payload = R"({"lasts": true})", .steps = {step}};
}

jobs::JobSpec tasks(std::uint32_t count, double processors, int runMilliseconds)
{
    jobs::StepSpec step{.count = count, .size = {.processors = processors, .memory = 1}};
    step.estimateMilliseconds = runMilliseconds;
    return {.payload = R"({"runMs": )" + std::to_string(runMilliseconds) + "}", .steps = {step}};
}

class EngineReservation : public testing::Test
{
protected:
    explicit EngineReservation(int runners = 2)
        : m_pool({.runners = runners, .capacity = {.processors = 64, .memory = 256}})
    {
        m_pool.run(seconds(1));
    }

    std::size_t runningCount(const std::string &job)
    {
        const std::vector<RecordedRun> runs = m_pool.ledger().runsOf(job);
        return std::size_t(std::count_if(runs.begin(), runs.end(),
                                         [](const RecordedRun &run) { return !run.end; }));
    }

    EnginePool m_pool;
};

class EngineReservationOfOne : public EngineReservation
{
protected:
    EngineReservationOfOne()
        : EngineReservation(1)
    { }
};

// The lasting tasks at work leave no room for the two others, however long those wait.
TEST_F(EngineReservation, LastingTasksThatCanNeverFitHoldUpNoOtherJob)
{
    for (int i = 0; i < 2; ++i) {
        m_pool.submit("at-work-" + std::to_string(i), lasting(40));
        m_pool.run(milliseconds(300));
    }
    m_pool.submit("waiting-0", lasting(41));
    m_pool.submit("waiting-1", lasting(42));
    m_pool.run(seconds(1));
    m_pool.submit("small", tasks(2, 2, 100));
    EXPECT_LT(m_pool.runUntilEnded("small", Timeout), seconds(1)) << m_pool.trace();
    EXPECT_EQ(runningCount("at-work-0") + runningCount("at-work-1"), 2U);
}

// Each of them would find room on either runner in the end, so that both would be reserved.
TEST_F(EngineReservation, LastingTasksNeverReserveAllRunners)
{
    m_pool.submit("busy", tasks(2, 40, 20'000));
    m_pool.run(milliseconds(300));
    m_pool.submit("waiting-0", lasting(50));
    m_pool.submit("waiting-1", lasting(51));
    m_pool.run(seconds(1));
    m_pool.submit("small", tasks(2, 2, 100));
    EXPECT_LT(m_pool.runUntilEnded("small", Timeout), seconds(1)) << m_pool.trace();
    m_pool.run(seconds(25));
    EXPECT_EQ(runningCount("waiting-0") + runningCount("waiting-1"), 2U);
}

// The task that is in the way runs for much longer than it was said to.
TEST_F(EngineReservationOfOne, ReservationThatDoesNotComeTrueEnds)
{
    jobs::JobSpec slow = tasks(1, 40, 50'000);
    slow.steps[0].estimateMilliseconds = 1'000;
    m_pool.submit("slow", slow);
    m_pool.run(milliseconds(300));
    m_pool.submit("waiting", lasting(50));
    m_pool.run(milliseconds(300));
    m_pool.submit("small", tasks(2, 2, 3'000));
    EXPECT_LT(m_pool.runUntilEnded("small", Timeout), seconds(15)) << m_pool.trace();
    EXPECT_EQ(runningCount("slow"), 1U);
    m_pool.run(seconds(45));
    EXPECT_EQ(runningCount("waiting"), 1U);
}

// The room is needed in 4 s only, and the small tasks are done by then.
TEST_F(EngineReservationOfOne, TasksThatEndBeforeTheRoomIsNeededAreLetThrough)
{
    m_pool.submit("busy", tasks(1, 40, 5'000));
    m_pool.run(milliseconds(500));
    m_pool.submit("waiting", lasting(50));
    m_pool.run(milliseconds(300));
    m_pool.submit("long", tasks(1, 20, 30'000));
    m_pool.submit("short", tasks(3, 2, 300));
    EXPECT_LT(m_pool.runUntilEnded("short", Timeout), seconds(1)) << m_pool.trace();
    EXPECT_EQ(runningCount("long"), 0U);
    m_pool.run(seconds(6));
    EXPECT_EQ(runningCount("waiting"), 1U);
}

// The reservation of an earlier owner is not known to the next one, which makes its own.
TEST_F(EngineReservationOfOne, NextOwnerReservesTheRoomAnew)
{
    m_pool.submit("busy", tasks(1, 40, 8'000));
    m_pool.run(milliseconds(500));
    m_pool.submit("waiting", lasting(50));
    m_pool.run(seconds(1));
    m_pool.replaceOwner(seconds(1));
    for (int i = 0; i < 100; ++i) {
        m_pool.submit("flood-" + std::to_string(i), tasks(1, 10, 1'000));
        m_pool.run(milliseconds(100));
    }
    EXPECT_EQ(runningCount("waiting"), 1U) << m_pool.trace();
}

} // namespace
} // namespace sequoiapier
