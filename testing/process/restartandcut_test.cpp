// Tests of runners that restart under their ids and are then cut off from the store and from the
// owner of their pool. Orders that were meant for the life before are carried out at the new one,
// which grants them its longest lease, 10 s, where the owner means 5 s. Their tasks must not be
// started elsewhere before that lease has expired, whether the runner is listed or not.
#include "testing/process/platformtest.h"

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char *JobA = "5c0e7a21d94b36f8";
constexpr const char *JobB = "00000000000000bb";

class RestartAndCut : public PlatformTest
{
protected:
    static inline const std::vector<std::string> Runners{"i-0", "i-1", "i-2"};

    static constexpr milliseconds LongestOutage{16'000};

    void SetUp() override
    {
        PlatformTest::SetUp();
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return haveOwnersSettled(); }));
    }

    void setFaults(const json &faults)
    {
        EXPECT_TRUE(system().setFaults("platform", faults.dump()));
    }

    // Restarts all runners, so that the owner has not heard of it when it sends the next orders.
    void restartRunners()
    {
        for (const std::string &runner : Runners)
            EXPECT_TRUE(system().post("platform", "/crash", json{{"runner", runner}}.dump()));
    }

    // Starts a job with a task on each of `count` runners.
    void startTasks(const std::string &job, std::size_t count, milliseconds runTime)
    {
        const json step{{"count", count}, {"cpu", 1'000}, {"mem_mb", 256}, {"anti_affinity", 1}};
        const json body{{"spec", json{{"runMs", runTime.count()}}.dump()}, {"steps", {step}}};
        EXPECT_EQ(call("node-1", "POST", "/quotes/" + job, body.dump()).response.status, 200);
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return runsOf(job).size() == count; }));
    }

    // Starts a job of one task, and returns the runner of its run.
    std::string startTask(const std::string &job)
    {
        startTasks(job, 1, milliseconds(60'000));
        return runsOf(job).at(0)["runner"];
    }

    // Cuts the runner off from the store and from all nodes.
    void cut(const std::string &runner)
    {
        setFaults({{"silentRunners", {runner}}, {"hiddenRunners", {runner}}});
    }

    // Kills the pool's owner and waits for the next one, which knows that the former one has ended.
    void replaceOwner()
    {
        const std::string killed = owner();
        const std::uint64_t epoch = highestEpoch();
        system().member(killed).process.signal(SIGKILL);
        system().replace(killed);
        ASSERT_TRUE(
            LocalSystem::waitUntil([&] { return highestEpoch() > epoch; }, milliseconds(15'000)));
    }

    void expectMovedWithoutOverlap(const std::string &job)
    {
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return runsOf(job).size() == 2; }, LongestOutage));
        EXPECT_EQ(violations(), "[]");
    }
};

TEST_F(RestartAndCut, RunIsNotDoubledWhenItsStartWasNotAnswered)
{
    restartRunners();
    setFaults({{"lostStarts", 1}});
    cut(startTask(JobA));
    expectMovedWithoutOverlap(JobA);
}

TEST_F(RestartAndCut, RunIsNotDoubledByTheNextOwner)
{
    restartRunners();
    cut(startTask(JobA));
    replaceOwner();
    expectMovedWithoutOverlap(JobA);
}

// A lease is the runner's: that of the former owner's task also keeps the next owner's task going.
TEST_F(RestartAndCut, RunOfTheNextOwnerIsNotDoubledWhileTheFormerOwnersLeaseGoesOn)
{
    restartRunners();
    startTasks(JobB, Runners.size(), milliseconds(50));
    replaceOwner();
    cut(startTask(JobA));
    expectMovedWithoutOverlap(JobA);
}

} // namespace
} // namespace sequoiapier
