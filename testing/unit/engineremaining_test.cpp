// Tests of runs that go on after their job was cancelled or has failed, under the next owner. They
// use their team's ceiling until they have ended; counted as ended before, they let the team run
// more than its ceiling.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using jobs::JobPhase;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Ceiling = 4;

jobs::JobSpec oneStep(std::uint32_t count, const std::string &payload)
{
    return {.payload = payload,
            .steps = {{.count = count, .size = {.processors = 1, .memory = 1}}}};
}

class EngineRemaining : public testing::Test
{
protected:
    EngineRemaining()
    {
        m_pool.setCeiling(Resources{.processors = Ceiling, .memory = 100, .accelerators = 1});
        m_pool.run(seconds(1));
    }

    // Runs for the time and returns the highest number of runs at once.
    std::size_t mostRunning(Duration duration)
    {
        std::size_t most = 0;
        const TimePoint end = m_pool.time().now() + duration;
        while (m_pool.time().now() < end) {
            m_pool.run(milliseconds(20));
            const std::vector<RecordedRun> &runs = m_pool.ledger().runs();
            most = std::max(most,
                            std::size_t(std::count_if(runs.begin(), runs.end(),
                                                      [](const auto &run) { return !run.end; })));
        }
        return most;
    }

    // Fills the ceiling with runs on one runner, and cuts it off.
    void fillCeilingAndCutOff()
    {
        m_pool.submit("a", oneStep(Ceiling, R"({"runMs": 60000})"));
        m_pool.run(milliseconds(500));
        const std::vector<RecordedRun> runs = m_pool.ledger().runsOf("a");
        ASSERT_EQ(runs.size(), Ceiling);
        for (const RecordedRun &run : runs)
            m_pool.setReachable(std::stoi(run.runner.substr(2)), false);
    }

    EnginePool m_pool{{.runners = 2}};
};

TEST_F(EngineRemaining, RunsOfACancelledJobCountUnderTheNextOwner)
{
    fillCeilingAndCutOff();
    m_pool.cancel("a");
    m_pool.run(milliseconds(100));
    ASSERT_EQ(m_pool.phaseOf("a"), JobPhase::Cancelled);
    m_pool.replaceOwner(milliseconds(500));
    m_pool.submit("b", oneStep(Ceiling, R"({"runMs": 1000})"));
    EXPECT_LE(mostRunning(seconds(15)), Ceiling) << m_pool.trace();
    EXPECT_EQ(m_pool.phaseOf("b"), JobPhase::Completed);
}

TEST_F(EngineRemaining, RunsOfACancelledJobCountUnderTheOwnerAfterTheNext)
{
    fillCeilingAndCutOff();
    m_pool.cancel("a");
    m_pool.run(milliseconds(100));
    m_pool.replaceOwner(milliseconds(500));
    m_pool.run(milliseconds(500));
    m_pool.replaceOwner(milliseconds(500));
    m_pool.submit("b", oneStep(Ceiling, R"({"runMs": 1000})"));
    EXPECT_LE(mostRunning(seconds(15)), Ceiling) << m_pool.trace();
    EXPECT_EQ(m_pool.phaseOf("b"), JobPhase::Completed);
}

// They end within the stop time once the next owner reaches their runner.
TEST_F(EngineRemaining, RunsThatHaveEndedGiveTheirPartBackAtOnce)
{
    m_pool.submit("a", oneStep(Ceiling, R"({"runMs": 60000})"));
    m_pool.run(milliseconds(500));
    m_pool.cancel("a");
    m_pool.run(milliseconds(100));
    m_pool.replaceOwner(milliseconds(500));
    m_pool.submit("b", oneStep(Ceiling, R"({"runMs": 100})"));
    EXPECT_LT(m_pool.runUntilEnded("b", seconds(20)), milliseconds(1'200)) << m_pool.trace();
    EXPECT_EQ(m_pool.violations(), "");
}

// A job that was cancelled long ago holds nothing.
TEST_F(EngineRemaining, RunsOfAJobThatEndedLongAgoHoldNothing)
{
    m_pool.submit("a", oneStep(Ceiling, R"({"runMs": 60000})"));
    m_pool.run(milliseconds(500));
    m_pool.cancel("a");
    m_pool.run(seconds(30));
    m_pool.setReachable(0, false);
    m_pool.replaceOwner(milliseconds(500));
    m_pool.submit("b", oneStep(Ceiling, R"({"runMs": 100})"));
    EXPECT_LT(m_pool.runUntilEnded("b", seconds(20)), milliseconds(1'200)) << m_pool.trace();
}

} // namespace
} // namespace sequoiapier
