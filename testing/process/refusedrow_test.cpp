// Tests of nodes whose store refuses the rows of one job for good. The other jobs of the pool go
// on, nothing of the refused job is lost, and the operator is told.
#include "testing/process/platformtest.h"

#include <algorithm>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr const char *Refused = "5c0e7a21d94b36f8";
constexpr int Tasks = 2; // in each of two steps

class RefusedRow : public PlatformTest
{
protected:
    // The log of the node that owns the pool must tell of the refused job.
    void SetUp() override
    {
        PlatformTest::SetUp();
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return haveOwnersSettled(); }));
    }

    static std::string jobId(int number) { return "5c0e7a21d94b37" + std::to_string(number); }

    void setRefused(bool isRefused)
    {
        const nlohmann::json faults{{"refusedKeys", nlohmann::json::array()}};
        nlohmann::json refusing = faults;
        refusing["refusedKeys"].push_back(Refused);
        EXPECT_TRUE(system().setFaults("platform", (isRefused ? refusing : faults).dump()));
    }

    bool waitSetApart(const std::string &node)
    {
        return LocalSystem::waitUntil([&] {
            const std::vector<nlohmann::json> log = logOf(node);
            return std::any_of(log.begin(), log.end(), [](const nlohmann::json &line) {
                return line.value("event", "") == "job.set-apart"
                    && line.value("job", "") == Refused;
            });
        });
    }

    void expectOthersComplete()
    {
        for (const std::string &node : nodes()) {
            const std::string id = jobId(m_next++);
            EXPECT_EQ(submit(node, id), 200) << node;
            EXPECT_TRUE(waitState(node, id, "completed")) << node << " " << stateOf(node, id);
        }
    }

    void expectRefusedCompletedOnce()
    {
        EXPECT_TRUE(waitState("node-1", Refused, "completed")) << stateOf("node-1", Refused);
        EXPECT_EQ(runsOf(Refused).size(), std::size_t(2 * Tasks));
        EXPECT_EQ(violations(), "[]");
    }

private:
    int m_next = 10;
};

TEST_F(RefusedRow, OfARunningJobHoldsUpNoOtherJob)
{
    ASSERT_EQ(submit("node-1", Refused, Tasks, 1'500), 200);
    ASSERT_TRUE(waitState("node-1", Refused, "running"));
    setRefused(true);
    EXPECT_TRUE(waitSetApart(owner()));
    expectOthersComplete();
    EXPECT_NE(stateOf("node-2", Refused), "completed");
    setRefused(false);
    expectRefusedCompletedOnce();
}

// The next owner has the job as the store knew it before, and the ends that its runners list.
TEST_F(RefusedRow, OfARunningJobIsCompletedByTheNextOwner)
{
    ASSERT_EQ(submit("node-1", Refused, Tasks, 1'500), 200);
    ASSERT_TRUE(waitState("node-1", Refused, "running"));
    setRefused(true);
    const std::string killed = owner();
    EXPECT_TRUE(waitSetApart(killed));
    system().member(killed).process.signal(SIGKILL);
    system().replace(killed);
    expectOthersComplete();
    setRefused(false);
    expectRefusedCompletedOnce();
}

// A caller whose job the store refuses is not told that it was accepted.
TEST_F(RefusedRow, OfANewJobIsNotAcknowledged)
{
    setRefused(true);
    EXPECT_NE(submit("node-1", Refused, Tasks), 200);
    EXPECT_TRUE(waitSetApart(owner()));
    expectOthersComplete();
    EXPECT_TRUE(runsOf(Refused).empty());
    EXPECT_EQ(violations(), "[]");
}

} // namespace
} // namespace sequoiapier
