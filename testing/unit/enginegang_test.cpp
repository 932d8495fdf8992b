// Tests of the checkpoints of gangs. The checkpoint of any member is valid for the gang, but all
// members of a run must start from the same one.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

#include <set>

namespace sequoiapier {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t Members = 4;

class EngineGang : public testing::Test
{
protected:
    // Each member reports a checkpoint of its own.
    EngineGang()
    {
        m_pool.run(seconds(1));
        jobs::StepSpec gang{.count = Members, .size = {.processors = 3, .memory = 1}};
        gang.isGang = true;
        gang.hasCheckpoints = true;
        m_pool.submit("a",
                      {.payload = R"({"runMs": 60000, "checkpointBytes": 16})", .steps = {gang}});
        m_pool.run(seconds(1));
    }

    // Checkpoints with which the members of the newest run have started.
    std::set<std::string> newestCheckpoints()
    {
        std::set<std::string> checkpoints;
        const std::vector<RecordedRun> runs = m_pool.ledger().runsOf("a");
        for (const RecordedRun &run : runs) {
            if (run.run == runs.back().run)
                checkpoints.insert(run.checkpoint);
        }
        return checkpoints;
    }

    void expectAllStartedFromOneCheckpoint()
    {
        m_pool.run(seconds(12));
        EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2 * Members) << m_pool.trace();
        EXPECT_EQ(newestCheckpoints().size(), 1U);
        EXPECT_FALSE(newestCheckpoints().contains(""));
        EXPECT_EQ(m_pool.violations(), "");
    }

    EnginePool m_pool{{.runners = 2}};
};

// No end tells of a checkpoint: the members have those of their last reports.
TEST_F(EngineGang, MembersWhoseRunnersWereLostStartFromOneCheckpoint)
{
    m_pool.crash(0);
    m_pool.crash(1);
    expectAllStartedFromOneCheckpoint();
}

} // namespace
} // namespace sequoiapier
