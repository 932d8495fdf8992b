// Jobs on the users' platform with nodes in separate processes, checked against the runners' record
// of the runs.
#include "testing/process/platformtest.h"
#include "testing/support/loadclient.h"

#include <algorithm>
#include <fstream>
#include <thread>

namespace sequoiapier {

std::vector<nlohmann::json> PlatformTest::logOf(const std::string &node)
{
    std::vector<nlohmann::json> lines;
    std::ifstream file(m_system.directory() + "/" + node + ".log");
    std::string line;
    while (std::getline(file, line)) {
        nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (entry.is_object())
            lines.push_back(std::move(entry));
    }
    return lines;
}

namespace {

using std::chrono::milliseconds;

const std::string JobA = "00000000000000aa";
const std::string JobB = "00000000000000bb";

class Platform : public PlatformTest
{
};

TEST_F(Platform, JobRunsThroughItsStepsOnceFromAnyNode)
{
    EXPECT_EQ(submit("node-1", JobA), 200);
    EXPECT_EQ(submit("node-2", JobA), 200);
    ASSERT_TRUE(waitState("node-3", JobA, "completed"));
    EXPECT_EQ(submit("node-3", JobA), 200);
    EXPECT_EQ(runsOf(JobA).size(), 4U);
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, RefusalsSayWhy)
{
    EXPECT_EQ(call("node-1", "POST", "/quotes/" + JobA, jobBody(1, 10), "").response.status, 401);
    EXPECT_EQ(call("node-1", "POST", "/quotes/" + JobA, jobBody(1, 10), "bad").response.status,
              401);
    EXPECT_EQ(call("node-1", "POST", "/elsewhere/" + JobA, jobBody(1, 10)).response.status, 404);
    EXPECT_EQ(call("node-1", "POST", "/quotes/short", jobBody(1, 10)).response.status, 400);
    for (const char *body : {"", "{}", "[", R"({"steps":[{"count":1,"after":[0]}]})"}) {
        const HttpAnswer answer = call("node-1", "POST", "/quotes/" + JobA, body);
        EXPECT_EQ(answer.response.status, 400) << body;
        EXPECT_NE(answer.response.body.find("detail"), std::string::npos) << body;
    }
    EXPECT_EQ(call("node-1", "GET", "/quotes/" + JobB).response.status, 410);
    EXPECT_EQ(call("node-1", "DELETE", "/quotes/" + JobB).response.status, 410);
    EXPECT_TRUE(record()["runs"].empty());
}

TEST_F(Platform, CancelledJobEnds)
{
    EXPECT_EQ(submit("node-1", JobA, 2, 60'000), 200);
    ASSERT_TRUE(waitState("node-2", JobA, "running"));
    EXPECT_EQ(call("node-3", "DELETE", "/quotes/" + JobA).response.status, 200);
    EXPECT_EQ(stateOf("node-1", JobA), "cancelled");
    EXPECT_TRUE(LocalSystem::waitUntil([&] {
        const std::vector<nlohmann::json> runs = runsOf(JobA);
        return std::all_of(runs.begin(), runs.end(),
                           [](const nlohmann::json &run) { return run["how"] == "stopped"; });
    }));
}

TEST_F(Platform, KilledOwnerIsSucceeded)
{
    const std::string first = owner();
    EXPECT_EQ(submit(first, JobA, 3, 1'500), 200);
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return runsOf(JobA).size() == 3; }));
    system().member(first).process.signal(SIGKILL);
    const std::string other = otherThan(first);
    EXPECT_EQ(submit(other, JobB), 200);
    EXPECT_TRUE(waitState(other, JobA, "completed"));
    EXPECT_TRUE(waitState(other, JobB, "completed"));
    EXPECT_EQ(runsOf(JobA).size(), 6U);
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, AllKilledAtOnceLoseNoAcceptedJob)
{
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(submit("node-1", "000000000000000" + std::to_string(i), 2, 300), 200);
    for (const std::string &node : nodes())
        system().member(node).process.signal(SIGKILL);
    for (const std::string &node : nodes())
        system().replace(node);
    ASSERT_TRUE(system().waitReady("node-1"));
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(waitState("node-1", "000000000000000" + std::to_string(i), "completed")) << i;
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, FrozenOwnerWakesDeposedAndStartsNothing)
{
    const std::string first = owner();
    const std::string other = otherThan(first);
    EXPECT_EQ(submit(other, JobA, 2, 3'000), 200);
    ASSERT_TRUE(waitState(other, JobA, "running"));
    system().member(first).process.signal(SIGSTOP);
    EXPECT_EQ(submit(other, JobB, 2, 200), 200);
    EXPECT_TRUE(waitState(other, JobB, "completed"));
    system().member(first).process.signal(SIGCONT);
    EXPECT_TRUE(waitState(other, JobA, "completed"));
    EXPECT_EQ(runsOf(JobA).size(), 4U);
    EXPECT_EQ(violations(), "[]");
    EXPECT_TRUE(waitState(first, JobA, "completed"));
}

TEST_F(Platform, StoppedOwnerHandsOverWithoutAGap)
{
    const std::string first = owner();
    const std::string other = otherThan(first);
    EXPECT_EQ(submit(other, JobA, 2, 2'000), 200);
    system().member(first).process.signal(SIGTERM);
    for (int i = 0; i < 10; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        EXPECT_EQ(submit(other, "000000000000000" + std::to_string(i), 1, 10), 200);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2'500));
    }
    EXPECT_TRUE(waitState(other, JobA, "completed"));
    EXPECT_EQ(system().member(first).process.waitExit(milliseconds(6'000)), 0);
    EXPECT_EQ(violations(), "[]");
}

// The node always has traffic and therefore exits at the end of its grace period.
TEST_F(Platform, SteadyCallersOfAStoppedNodeAreAnsweredUntilConnectionsAreRefused)
{
    Member &node = system().member("node-3");
    LoadOptions options{.ports = {node.workPort},
                        .path = "/quotes/",
                        .headers = {{"authorization", "Token good-key"}, {"deadline-ms", "4000"}},
                        .concurrency = 8,
                        .requestCount = 8'000,
                        .requestsPerSecond = 1'000};
    options.onStart = [&](unsigned count) {
        if (count == 500)
            node.process.signal(SIGTERM);
    };
    const LoadResult result = runLoad(options);
    const auto lostCount = std::count_if(
        result.outcomes.begin(), result.outcomes.end(),
        [](const LoadOutcome &outcome) { return outcome.outcome == HttpOutcome::Lost; });
    EXPECT_EQ(lostCount, 0);
    EXPECT_EQ(result.outcomes.back().outcome, HttpOutcome::NotSent);
    EXPECT_EQ(node.process.waitExit(milliseconds(6'000)), 0);
}

TEST_F(Platform, LostAnswersOfTheStoreDoubleNothing)
{
    for (int i = 0; i < 6; ++i) {
        ASSERT_TRUE(system().setFaults("platform", R"({"lostCommits": 2})"));
        const std::string id = "000000000000000" + std::to_string(i);
        EXPECT_EQ(submit("node-1", id), 200);
        EXPECT_TRUE(waitState("node-2", id, "completed")) << id;
        EXPECT_EQ(runsOf(id).size(), 4U);
    }
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, LostStartsAreResolved)
{
    ASSERT_TRUE(system().setFaults("platform", R"({"lostStarts": 2})"));
    EXPECT_EQ(submit("node-1", JobA, 2, 100), 200);
    EXPECT_TRUE(waitState("node-2", JobA, "completed"));
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, SilentRunnersTasksGoOnElsewhere)
{
    EXPECT_EQ(submit("node-1", JobA, 2, 700), 200);
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return runsOf(JobA).size() == 2; }));
    const std::string runner = runsOf(JobA).front()["runner"];
    const nlohmann::json faults{{"silentRunners", {runner}}};
    ASSERT_TRUE(system().setFaults("platform", faults.dump()));
    EXPECT_EQ(submit("node-1", JobB, 2, 50), 200);
    EXPECT_TRUE(waitState("node-2", JobB, "completed"));
    EXPECT_TRUE(waitState("node-2", JobA, "completed"));
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, DrainingRunnerGetsNoStartWhileTheListCannotBeRead)
{
    EXPECT_EQ(submit("node-1", JobA, 6, 50), 200);
    ASSERT_TRUE(waitState("node-2", JobA, "completed"));
    ASSERT_TRUE(system().setFaults("platform", R"({"listDown": true})"));
    const std::string leaving = runsOf(JobA).front()["runner"];
    ASSERT_TRUE(system().post("platform", "/drain", nlohmann::json{{"runner", leaving}}.dump()));
    std::this_thread::sleep_for(milliseconds(2'500)); // A start is late after 2 s.
    EXPECT_EQ(submit("node-1", JobB, 6, 50), 200);
    std::this_thread::sleep_for(milliseconds(500));
    ASSERT_TRUE(system().setFaults("platform", "{}"));
    EXPECT_TRUE(waitState("node-2", JobB, "completed"));
    for (const nlohmann::json &run : runsOf(JobB))
        EXPECT_NE(run["runner"], leaving);
    EXPECT_EQ(violations(), "[]");
}

// Another writer has put malformed entries into the runners' table.
TEST_F(Platform, OddEntriesOfTheListEndNoNodeAndHideNoRunner)
{
    const std::string deep = std::string(160'000, '[') + std::string(160'000, ']');
    const std::vector<std::string> entries{
        R"({"service":"vanload","more":)" + deep + "}",
        R"({"service":"vanload","addr":"127.0.0.1:70000","state":"ready","capacity":{}})",
        R"({"service":"vanload","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e300}})",
        R"({"service":"vanload","addr":"127.0.0.1:1","state":"ready","capacity":{},"born":1e300})",
        "\x01"};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const nlohmann::json entry{{"key", "odd-" + std::to_string(i)}, {"text", entries[i]}};
        ASSERT_TRUE(system().post("platform", "/entry", entry.dump()));
    }
    std::this_thread::sleep_for(milliseconds(1'500)); // Time for several reads of the list.
    EXPECT_EQ(submit("node-1", JobA, 6, 50), 200);
    EXPECT_TRUE(waitState("node-2", JobA, "completed"));
    for (const std::string &node : nodes())
        EXPECT_FALSE(system().member(node).process.waitExit(milliseconds(1))) << node;
    EXPECT_EQ(violations(), "[]");
}

// A deeply nested request body is refused, and the node keeps serving.
TEST_F(Platform, DeeplyNestedSubmissionIsRefused)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    EXPECT_EQ(call("node-1", "POST", "/quotes/" + JobA, R"({"spec":"","steps":)" + deep + "}")
                  .response.status,
              400);
    EXPECT_EQ(submit("node-1", JobB), 200);
}

// The job's row would exceed the row size limit of the store.
TEST_F(Platform, JobThatCanNotBeStoredIsRefusedAndHoldsUpNoOther)
{
    const std::string image(70'000, 'i');
    EXPECT_EQ(call("node-1", "POST", "/quotes/" + JobA,
                   R"({"spec":"","steps":[{"count":1,"cpu":100,"image":")" + image + R"("}]})")
                  .response.status,
              413);
    EXPECT_EQ(submit("node-1", JobB), 200);
    EXPECT_TRUE(waitState("node-2", JobB, "completed"));
}

TEST_F(Platform, StoreOutageAcceptsNothingAndLosesNothing)
{
    EXPECT_EQ(submit("node-1", JobA, 2, 1'000), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "running"));
    ASSERT_TRUE(system().setFaults("platform", R"({"storeDown": true})"));
    // The status must not be 200, because nothing could be stored.
    const int status = call("node-1", "POST", "/quotes/" + JobB, jobBody(1, 10), "good-key", 1'500)
                           .response.status;
    EXPECT_TRUE(status == 503 || status == 504) << status;
    ASSERT_TRUE(system().setFaults("platform", "{}"));
    EXPECT_TRUE(waitState("node-1", JobA, "completed"));
    EXPECT_EQ(runsOf(JobA).size(), 4U);
    EXPECT_EQ(violations(), "[]");
}

TEST_F(Platform, WithdrawnKeyStopsWorkingAndAddedRoutesWork)
{
    EXPECT_EQ(submit("node-1", JobA), 200);
    configure(5, {"other-key"}, {"/quotes/", "/more/"});
    for (const std::string &node : nodes()) {
        EXPECT_TRUE(LocalSystem::waitUntil(
            [&] {
                return call(node, "GET", "/quotes/" + JobA).response.status == 401
                    && call(node, "GET", "/more/", "", "other-key").response.status == 200;
            },
            milliseconds(2'000)))
            << node;
    }
    configure(3, {"good-key"}); // An older version changes nothing.
    EXPECT_EQ(call("node-2", "GET", "/more/", "", "other-key").response.status, 200);
}

// A node that can't check whether a key was withdrawn accepts no work under it.
TEST_F(Platform, CutOffNodesRefuseKeysBeforeTheRevocationIsDue)
{
    ASSERT_TRUE(system().setFaults("platform", R"({"storeSilent": true})"));
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] {
            return call("node-1", "GET", "/quotes/", "", "good-key", 500).response.status == 503;
        },
        milliseconds(6'000)));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(5'000));
    ASSERT_TRUE(system().setFaults("platform", "{}"));
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] { return call("node-1", "GET", "/quotes/").response.status == 200; }));
}

TEST_F(Platform, WaveMaintainsEveryHost)
{
    writeOperatorRow(
        "wave/7",
        {{"wave", 7}, {"machines", {"m-0", "m-1", "m-2", "m-3"}}, {"duration_s", 10}, {"cap", 2}});
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] {
            const nlohmann::json statuses = record()["statuses"];
            return statuses.contains("wave/7") && statuses["wave/7"]["state"] == "completed";
        },
        milliseconds(15'000)));
    const nlohmann::json all = record();
    for (const auto &[name, host] : all["hosts"].items())
        EXPECT_EQ(host["waves"].size(), 1U) << name;
}

// The hosts are idle when the order for them is refused, and run tasks when it is accepted.
TEST_F(Platform, OrderThatIsAcceptedLateEndsNoTask)
{
    ASSERT_TRUE(system().setFaults("platform", R"({"ordersRefused": true})"));
    writeOperatorRow(
        "wave/7",
        {{"wave", 7}, {"machines", {"m-0", "m-1", "m-2", "m-3"}}, {"duration_s", 10}, {"cap", 2}});
    std::this_thread::sleep_for(milliseconds(1'000));
    for (int i = 0; i < 6; ++i) { // More than one host can run.
        EXPECT_EQ(submit("node-1", "000000000000000" + std::to_string(i), 3, 1'500), 200);
        std::this_thread::sleep_for(milliseconds(400));
    }
    ASSERT_TRUE(system().setFaults("platform", "{}"));
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] { return record()["statuses"]["wave/7"]["state"] == "completed"; },
        milliseconds(15'000)));
    const nlohmann::json all = record();
    for (const nlohmann::json &run : all["runs"])
        EXPECT_NE(run["how"], "crashed") << run;
}

} // namespace
} // namespace sequoiapier
