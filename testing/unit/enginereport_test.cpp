// Tests of reports that do not list all ends. A runner lists 500 ends at a time, and a run whose
// end is not among them stands in neither list of the report.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Tasks = 1'600;
constexpr Duration Timeout = seconds(30);

class EngineReport : public testing::Test
{
protected:
    // Starts a job whose tasks all run on one runner.
    void startJob()
    {
        const jobs::StepSpec step{.count = Tasks, .size = {.processors = 0.1, .memory = 0.1}};
        m_pool.submit("a", {.payload = R"({"runMs": 6000})", .steps = {step}});
        while (m_pool.ledger().runs().size() < Tasks)
            m_pool.run(milliseconds(5));
    }

    void expectAllRunOnce()
    {
        m_pool.runUntilEnded("a", Timeout);
        EXPECT_EQ(m_pool.phaseOf("a"), jobs::JobPhase::Completed);
        EXPECT_EQ(m_pool.ledger().runs().size(), Tasks);
        m_pool.run(seconds(1));
        EXPECT_EQ(m_pool.violations(), "");
    }

    EnginePool m_pool{{.runners = 1, .capacity = {.processors = 200, .memory = 200}}};
};

TEST_F(EngineReport, NextOwnerStartsNoTaskAgainWhoseEndIsNotListedYet)
{
    startJob();
    m_pool.replaceOwner(milliseconds(4'500)); // All tasks end meanwhile.
    expectAllRunOnce();
}

TEST_F(EngineReport, NoTaskIsStartedAgainWhoseEndIsNotListedDuringAnOutageOfTheStore)
{
    startJob();
    m_pool.setStoreDown(true);
    m_pool.run(seconds(7));
    m_pool.setStoreDown(false);
    expectAllRunOnce();
}

// The runner was out of reach while the tasks ended, and is asked again within its lease.
TEST_F(EngineReport, NoTaskIsStartedAgainWhoseEndIsNotListedAfterACut)
{
    startJob();
    m_pool.setReachable(0, false);
    m_pool.run(seconds(4));
    m_pool.setReachable(0, true);
    expectAllRunOnce();
}

} // namespace
} // namespace sequoiapier
