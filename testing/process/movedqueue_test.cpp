// A queue is sent to another service while its jobs are known to the pool that accepted them. A
// request is repeated there seconds after its acceptance, and asks about jobs in both pools.
#include "testing/process/platformtest.h"

#include <set>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

const std::string JobA = "00000000000000aa";
const std::string JobB = "00000000000000bb";
constexpr int Ceiling = 8'000; // Thousandths of a core; as much as a host has.
constexpr Duration ConfigurationTime = milliseconds(2'000); // A change is in force by then.
constexpr Duration NothingStarts = milliseconds(1'500); // A wrong start would come sooner.

class MovedQueue : public PlatformTest
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(system().startPlatform("vanload:1,roundsman:1,sundries:1", 3));
        send("vanload");
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().waitReady(node)) << node;
        ASSERT_TRUE(waitOwned());
    }

    // Sends the queue "/quotes/" to the service.
    void send(const std::string &service)
    {
        configureQueues(++m_version, {{"/quotes/", service}}, {"vanload", "roundsman"}, Ceiling);
    }
    void sendAndWait(const std::string &service)
    {
        send(service);
        std::this_thread::sleep_for(ConfigurationTime);
    }

    bool waitOwned()
    {
        return LocalSystem::waitUntil([&] {
            std::set<std::string> owned;
            for (const std::string &node : nodes()) {
                for (const nlohmann::json &line : logOf(node)) {
                    if (line.value("event", "") == "pool.owned")
                        owned.insert(line.value("pool", ""));
                }
            }
            return owned.size() == 2;
        });
    }
    // The node that owns the pool, which is the one that logged the highest epoch for it.
    std::string ownerOf(const std::string &pool)
    {
        std::string latest;
        std::uint64_t highest = 0;
        for (const std::string &node : nodes()) {
            for (const nlohmann::json &line : logOf(node)) {
                const std::uint64_t epoch = std::stoull("0" + line.value("epoch", ""));
                if (line.value("event", "") != "pool.owned" || line.value("pool", "") != pool
                    || epoch < highest)
                    continue;
                highest = epoch;
                latest = node;
            }
        }
        return latest;
    }
    int waiting(const std::string &node)
    {
        const HttpAnswer answer = call(node, "GET", "/quotes/");
        return answer.response.status == 200
            ? nlohmann::json::parse(answer.response.body).value("waiting", -1)
            : -1;
    }
    void expectRunOnce(const std::string &id, std::size_t runs)
    {
        EXPECT_TRUE(waitState("node-2", id, "completed"));
        std::this_thread::sleep_for(NothingStarts);
        EXPECT_EQ(runsOf(id).size(), runs);
        EXPECT_EQ(violations(), "[]");
    }

private:
    int m_version = 0;
};

TEST_F(MovedQueue, RepeatedRequestOfAnEndedJobStartsNothing)
{
    EXPECT_EQ(submit("node-1", JobA), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "completed"));
    sendAndWait("roundsman");
    for (const std::string &node : nodes())
        EXPECT_EQ(submit(node, JobA), 200);
    EXPECT_EQ(submit("node-1", JobB), 200);
    expectRunOnce(JobB, 4);
    expectRunOnce(JobA, 4);
}

TEST_F(MovedQueue, RepeatedRequestOfARunningJobStartsNothing)
{
    EXPECT_EQ(submit("node-1", JobA, 2, 2'500), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "running"));
    sendAndWait("roundsman");
    EXPECT_EQ(submit("node-3", JobA, 2, 2'500), 200);
    EXPECT_EQ(stateOf("node-3", JobA), "running");
    expectRunOnce(JobA, 4);
}

// The queue is sent back, so that its first pool is asked again and its second is a former one.
TEST_F(MovedQueue, RepeatedRequestsStartNothingAfterTheQueueHasComeBack)
{
    EXPECT_EQ(submit("node-1", JobA), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "completed"));
    sendAndWait("roundsman");
    EXPECT_EQ(submit("node-2", JobB), 200);
    ASSERT_TRUE(waitState("node-2", JobB, "completed"));
    sendAndWait("vanload");
    EXPECT_EQ(submit("node-3", JobA), 200);
    EXPECT_EQ(submit("node-3", JobB), 200);
    expectRunOnce(JobA, 4);
    expectRunOnce(JobB, 4);
}

TEST_F(MovedQueue, RepeatedRequestOfAJobCancelledInTheFormerPoolStartsNothing)
{
    EXPECT_EQ(submit("node-1", JobA, 2, 60'000), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "running"));
    sendAndWait("roundsman");
    EXPECT_EQ(call("node-1", "DELETE", "/quotes/" + JobA).response.status, 200);
    EXPECT_EQ(submit("node-2", JobA, 2, 60'000), 200);
    EXPECT_EQ(stateOf("node-3", JobA), "cancelled");
    std::this_thread::sleep_for(NothingStarts);
    EXPECT_EQ(runsOf(JobA).size(), 2U);
}

// Neither the former pool nor the new one remembers by itself what the queue's first owner knew.
TEST_F(MovedQueue, RepeatedRequestStartsNothingAfterBothOwnersWereKilled)
{
    EXPECT_EQ(submit("node-1", JobA), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "completed"));
    sendAndWait("roundsman");
    for (const std::string &node : std::set{ownerOf("vanload"), ownerOf("roundsman")}) {
        system().member(node).process.signal(SIGKILL);
        system().replace(node);
    }
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return submit("node-1", JobA) == 200; },
                                       milliseconds(15'000)));
    expectRunOnce(JobA, 4);
}

// The answer to the first request is lost with its node while the configuration changes.
TEST_F(MovedQueue, RequestThatIsRepeatedDuringTheChangeRunsOnce)
{
    for (int i = 0; i < 20; ++i) {
        const std::string id = "00000000000000" + std::to_string(10 + i);
        EXPECT_EQ(submit("node-1", id, 1, 20), 200);
        if (i % 5 == 0)
            send(i % 2 == 0 ? "roundsman" : "vanload");
        for (const std::string &node : nodes()) {
            const int status = submit(node, id, 1, 20);
            EXPECT_TRUE(status == 200 || status == 504) << status;
        }
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(waitState("node-2", "00000000000000" + std::to_string(10 + i), "completed"));
    std::this_thread::sleep_for(NothingStarts);
    EXPECT_EQ(record()["runs"].size(), 20U * 2U);
    EXPECT_EQ(violations(), "[]");
}

TEST_F(MovedQueue, WaitingCountsJobsOfTheFormerPool)
{
    EXPECT_EQ(submit("node-1", JobB, 8, 20'000), 200); // Takes the whole ceiling.
    ASSERT_TRUE(waitState("node-1", JobB, "running"));
    EXPECT_EQ(submit("node-1", JobA, 1, 50), 200);
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return waiting("node-2") == 1; }));
    sendAndWait("roundsman");
    for (const std::string &node : nodes())
        EXPECT_EQ(waiting(node), 1) << node;
}

} // namespace
} // namespace sequoiapier
