// Queues whose policy is asked at a recommendation service, which answers the calls of one node one
// after the other.
#include "testing/process/platformtest.h"

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::seconds;

struct AdviceTimes
{
    int decideMilliseconds = 1'000;
    int validMilliseconds = 3'000;
};

// Four pools of two hosts, with a queue on each that needs advice.
class SharedAdvice : public PlatformTest
{
protected:
    static std::vector<std::string> pools() { return {"vanload", "roundsman", "depot", "patch"}; }

    void SetUp() override
    {
        std::string hosts = "sundries:1";
        for (const std::string &pool : pools())
            hosts += "," + pool + ":2";
        ASSERT_TRUE(system().startPlatform(hosts, 9, 8, nodes()));
        configureAdvice(1, {});
        setAdvice({{"decideMs", 1'000}, {"validMs", 3'000}});
    }

    void startNodes(const std::vector<std::string> &names)
    {
        for (const std::string &node : names)
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &pool : pools()) {
            ASSERT_TRUE(LocalSystem::waitUntil(
                [&] { return get("/" + pool + "/").response.status == 200; }));
        }
    }

    void configureAdvice(int version, AdviceTimes times)
    {
        json routes = json::array();
        json services{{{"name", "sundries"}, {"standby", true}}};
        for (const std::string &pool : pools()) {
            routes.push_back({{"name", "r/" + pool + "/"},
                              {"host", "127.0.0.1"},
                              {"prefix", "/" + pool + "/"},
                              {"timeout_ms", 8'000},
                              {"priority", 0},
                              {"service", pool},
                              {"max_attempts", 3},
                              {"stretch", 1.6},
                              {"public", false},
                              {"recommendation",
                               {{"decide_ms", times.decideMilliseconds},
                                {"each_ms", 0},
                                {"valid_ms", times.validMilliseconds}}}});
            services.push_back({{"name", pool}, {"rejects_overload", true}});
        }
        const json tenants{{{"name", "drivers"},
                            {"api_keys", {"good-key"}},
                            {"weight", 100},
                            {"cap", {{"cpu", 0}}}}};
        writeOperatorRow("config",
                         {{"version", version},
                          {"routes", routes},
                          {"services", services},
                          {"tenants", tenants}});
    }

    void setAdvice(const json &options)
    {
        ASSERT_TRUE(system().post("platform", "/advice", options.dump()));
    }

    // Submits a job of two steps to each pool.
    void submitToAll(int round)
    {
        for (std::size_t i = 0; i < pools().size(); ++i) {
            EXPECT_EQ(call("node-1", "POST", path(round, i), jobBody(2, 200)).response.status, 200)
                << path(round, i);
        }
    }
    // Returns the number of jobs of the round that are shown as completed.
    std::size_t completed(int round)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < pools().size(); ++i) {
            const HttpAnswer answer = get(path(round, i));
            if (answer.response.status == 200)
                count += json::parse(answer.response.body).value("state", "") == "completed";
        }
        return count;
    }
    bool waitCompleted(int round, seconds timeout)
    {
        return LocalSystem::waitUntil([&] { return completed(round) == pools().size(); }, timeout);
    }

    json record() { return json::parse(system().fetch("platform", "/record").response.body); }

private:
    static std::string path(int round, std::size_t pool)
    {
        return "/" + pools()[pool] + "/00000000000000" + std::to_string(round)
            + std::to_string(pool);
    }
};

// Guards against calls of one node that wait behind each other until their callers give them up.
// With four pools in turn an answer took longer than any of their calls waited, and none arrived.
TEST_F(SharedAdvice, NodeThatOwnsAllPoolsGetsItsAnswersInTime)
{
    startNodes({"node-1"});
    submitToAll(1);
    EXPECT_TRUE(waitCompleted(1, seconds(20))) << completed(1) << " " << record()["advice"];
    EXPECT_EQ(record()["advice"]["abandoned"], 0);
    EXPECT_EQ(record()["breaches"], json::array());
}

// The survivor takes over pools whose calls wait at the nodes that are killed.
TEST_F(SharedAdvice, SurvivorOfAllNodesGetsTheAnswersOfTheirPools)
{
    startNodes(nodes());
    submitToAll(1);
    system().member("node-2").process.signal(SIGKILL);
    system().member("node-3").process.signal(SIGKILL);
    EXPECT_TRUE(waitCompleted(1, seconds(30))) << completed(1) << " " << record()["advice"];
    submitToAll(2);
    EXPECT_TRUE(waitCompleted(2, seconds(20))) << completed(2) << " " << record()["advice"];
    EXPECT_EQ(record()["breaches"], json::array());
}

// Guards against an allowance that a service slower than it says exceeds with every answer.
TEST_F(SharedAdvice, AnswersThatComeLateAreUsed)
{
    configureAdvice(2, {.decideMilliseconds = 50});
    setAdvice({{"decideMs", 50}, {"delayMs", 2'500}, {"validMs", 3'000}});
    startNodes({"node-1"});
    EXPECT_EQ(call("node-1", "POST", "/depot/0000000000000031", jobBody(2, 200)).response.status,
              200);
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] {
            const HttpAnswer answer = get("/depot/0000000000000031");
            return json::parse(answer.response.body).value("state", "") == "completed";
        },
        seconds(20)))
        << record()["advice"];
}

TEST_F(SharedAdvice, ServiceThatIsBusyThenSilentIsFoundAgain)
{
    startNodes({"node-1"});
    setAdvice({{"decideMs", 100}, {"validMs", 3'000}, {"isBusy", true}});
    submitToAll(1);
    EXPECT_FALSE(waitCompleted(1, seconds(3)));
    setAdvice({{"decideMs", 100}, {"validMs", 3'000}, {"isSilent", true}});
    EXPECT_FALSE(waitCompleted(1, seconds(5)));
    setAdvice({{"decideMs", 100}, {"validMs", 3'000}});
    EXPECT_TRUE(waitCompleted(1, seconds(15))) << completed(1) << " " << record()["advice"];
    EXPECT_EQ(record()["breaches"], json::array());
}

// The queues stop to need advice while their questions wait for a turn.
TEST_F(SharedAdvice, JobsOfAQueueWhosePolicyGoesStartWithoutAdvice)
{
    startNodes({"node-1"});
    setAdvice({{"isSilent", true}});
    submitToAll(1);
    EXPECT_FALSE(waitCompleted(1, seconds(2)));
    std::map<std::string, std::string> queues;
    for (const std::string &pool : pools())
        queues["/" + pool + "/"] = pool;
    configureQueues(2, queues, pools(), 0);
    EXPECT_TRUE(waitCompleted(1, seconds(10))) << completed(1);
}

} // namespace
} // namespace sequoiapier
