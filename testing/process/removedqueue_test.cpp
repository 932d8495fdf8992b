// Tests of accepted jobs while an operator removes their queue and adds it again, as when a mistake
// is taken back. The jobs go on under the terms under which they were accepted: a task may fail
// until its attempts are used up, whatever the newest configuration says.
#include "testing/process/platformtest.h"

#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr const char *JobA = "5c0e7a21d94b36f8";
constexpr milliseconds RunTime{700};

class RemovedQueue : public PlatformTest
{
protected:
    // The first two runs of the job's task fail, and three are allowed.
    void submitFailingTwice()
    {
        const nlohmann::json payload{{"runMs", RunTime.count()}, {"failures", 2}};
        const nlohmann::json step{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 256}};
        const nlohmann::json body{{"spec", payload.dump()}, {"steps", {step}}};
        ASSERT_EQ(
            call("node-1", "POST", std::string("/quotes/") + JobA, body.dump()).response.status,
            200);
        ASSERT_TRUE(waitState("node-1", JobA, "running"));
    }

    void setQueue(bool isThere)
    {
        std::vector<std::string> prefixes{"/levies/"};
        if (isThere)
            prefixes.emplace_back("/quotes/");
        configure(++m_version, {"good-key"}, prefixes);
    }

    void setQueueAndWait(bool isThere)
    {
        setQueue(isThere);
        for (const std::string &node : nodes()) {
            EXPECT_TRUE(LocalSystem::waitUntil([&] {
                return call(node, "GET", "/quotes/").response.status == (isThere ? 200 : 404);
            })) << node;
        }
    }

    bool waitRuns(std::size_t count)
    {
        return LocalSystem::waitUntil([&] { return runsOf(JobA).size() >= count; },
                                      milliseconds(15'000));
    }

    void expectCompletedAfterThreeRuns()
    {
        EXPECT_TRUE(waitState("node-2", JobA, "completed")) << stateOf("node-2", JobA);
        EXPECT_EQ(runsOf(JobA).size(), 3U);
        EXPECT_EQ(violations(), "[]");
    }

private:
    int m_version = 1;
};

TEST_F(RemovedQueue, FailedRunLeavesTheOtherAttemptsOfAnAcceptedJob)
{
    submitFailingTwice();
    setQueueAndWait(false);
    EXPECT_TRUE(waitRuns(2));
    setQueueAndWait(true);
    expectCompletedAfterThreeRuns();
}

// The owner that accepted the job is killed, and the next one has only the job's rows.
TEST_F(RemovedQueue, NextOwnerKeepsTheAttemptsOfAnAcceptedJob)
{
    submitFailingTwice();
    setQueueAndWait(false);
    const std::string killed = owner();
    system().member(killed).process.signal(SIGKILL);
    system().replace(killed);
    EXPECT_TRUE(waitRuns(3));
    setQueue(true);
    expectCompletedAfterThreeRuns();
}

// The run fails while the store is down, so that its end is taken note of only later.
TEST_F(RemovedQueue, RunThatFailsDuringAnOutageLeavesTheOtherAttempts)
{
    submitFailingTwice();
    setQueueAndWait(false);
    EXPECT_TRUE(system().setFaults("platform", R"({"storeDown": true})"));
    std::this_thread::sleep_for(RunTime + milliseconds(500));
    EXPECT_TRUE(system().setFaults("platform", "{}"));
    EXPECT_TRUE(waitRuns(2));
    setQueue(true);
    expectCompletedAfterThreeRuns();
}

TEST_F(RemovedQueue, ChangesInSeriesLeaveTheAttempts)
{
    submitFailingTwice();
    for (int i = 0; i < 10; ++i) {
        setQueue(i % 2 == 1);
        std::this_thread::sleep_for(RunTime / 4);
    }
    expectCompletedAfterThreeRuns();
}

} // namespace
} // namespace sequoiapier
