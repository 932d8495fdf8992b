// Tests a fleet so large that an owner leaves its calls to another node, its carrier. A carrier
// that dies or stands still loses answers and carries orders out late, after which a task must
// neither be lost nor run twice.
#include "testing/process/platformtest.h"

#include <chrono>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr int RunnerCount = 104;
constexpr int JobCount = 12;
constexpr int TasksPerJob = 4; // in two steps
constexpr int RunMilliseconds = 400;
constexpr milliseconds TwoScans(800);

class Carrier : public PlatformTest
{
protected:
    void SetUp() override
    {
        const std::string pools = "vanload:" + std::to_string(RunnerCount) + ",sundries:1";
        ASSERT_TRUE(system().startPlatform(pools, RunnerCount + 1));
        configure(1, {"good-key"});
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().waitReady(node)) << node;
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return isSettled(); }));
    }

    // While nodes join, pools change hands with each scan of the members. The owner of the fleet is
    // no carrier.
    bool isSettled()
    {
        const std::string fleetOwner = lastToAcquire("fleet");
        const std::string before = m_owner + "/" + m_carrier;
        m_owner = owner();
        m_carrier = carrier();
        const auto now = std::chrono::steady_clock::now();
        if (m_owner + "/" + m_carrier != before)
            m_unchangedSince = now;
        return !fleetOwner.empty() && fleetOwner != m_owner && !m_carrier.empty()
            && m_carrier != fleetOwner && now > m_unchangedSince + TwoScans;
    }

    // Name of the node that makes the owner's calls; empty if there is none.
    std::string carrier()
    {
        std::string last;
        for (const nlohmann::json &line : logOf(m_owner)) {
            if (line.value("event", "") == "carriers.chosen")
                last = line.value("carriers", "");
        }
        return last;
    }

    double carriedCalls()
    {
        const std::string name = "\nsequoiapier_carried_calls_total ";
        const std::string metrics = system().fetch(m_owner, "/metrics").response.body;
        const std::size_t found = metrics.find(name);
        return found == std::string::npos ? 0 : std::stod(metrics.substr(found + name.size()));
    }

    static std::string jobId(int number)
    {
        const std::string digits = std::to_string(number);
        return std::string(16 - digits.size(), '0') + digits;
    }

    void submitJobs()
    {
        for (int i = 0; i < JobCount; ++i)
            EXPECT_EQ(submit(m_owner, jobId(i), TasksPerJob / 2, RunMilliseconds), 200);
    }

    void expectEachTaskDoneOnce()
    {
        for (int i = 0; i < JobCount; ++i) {
            EXPECT_TRUE(waitState(m_owner, jobId(i), "completed")) << i;
            const std::vector<nlohmann::json> runs = runsOf(jobId(i));
            EXPECT_EQ(std::count_if(runs.begin(), runs.end(),
                                    [](const auto &run) { return run["how"] == "done"; }),
                      TasksPerJob)
                << i;
        }
        EXPECT_EQ(violations(), "[]");
    }

    std::string m_owner;
    std::string m_carrier;
    std::chrono::steady_clock::time_point m_unchangedSince;
};

TEST_F(Carrier, MakesTheCallsOfALargeFleet)
{
    const double before = carriedCalls();
    submitJobs();
    expectEachTaskDoneOnce();
    EXPECT_GE(carriedCalls() - before, double(JobCount * TasksPerJob));
}

TEST_F(Carrier, KilledOneLosesNoTaskAndDoublesNone)
{
    submitJobs();
    system().member(m_carrier).process.signal(SIGKILL);
    expectEachTaskDoneOnce();
}

TEST_F(Carrier, FrozenOneWakesLateAndDoublesNoTask)
{
    submitJobs();
    system().member(m_carrier).process.signal(SIGSTOP);
    EXPECT_TRUE(waitState(m_owner, jobId(0), "completed"));
    system().member(m_carrier).process.signal(SIGCONT);
    expectEachTaskDoneOnce();
}

TEST_F(Carrier, StoppedOneLeavesItsCallsToTheOwner)
{
    submitJobs();
    Member &leaving = system().member(m_carrier);
    leaving.process.signal(SIGTERM);
    expectEachTaskDoneOnce();
    EXPECT_EQ(leaving.process.waitExit(milliseconds(8'000)), 0);
}

} // namespace
} // namespace sequoiapier
