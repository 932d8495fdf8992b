// Pools share the ceiling of a team. Where the parts of the ceiling would all be too small for the
// tasks that wait, some pool must get a part of use, or nothing of the team starts at all.
#include "testing/process/platformtest.h"

#include <algorithm>

namespace sequoiapier {
namespace {

const std::vector<std::string> Services{"vanload", "roundsman", "depotline", "patchwork"};
constexpr int HostProcessors = 16;
constexpr int Ceiling = 24'000; // Thousandths of a core.

class SharedCeiling : public PlatformTest
{
protected:
    void SetUp() override
    {
        std::string pools;
        for (const std::string &service : Services) {
            pools += (pools.empty() ? "" : ",") + service + ":1";
            m_queues["/" + service + "/"] = service;
        }
        ASSERT_TRUE(system().startPlatform(pools, int(Services.size()), HostProcessors));
        configureQueues(1, m_queues, Services, Ceiling);
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().waitReady(node)) << node;
        for (const std::string &service : Services) {
            ASSERT_TRUE(LocalSystem::waitUntil(
                [&] { return get("/" + service + "/").response.status == 200; }));
        }
    }

    // Submits a job of `tasks` tasks to the service's queue, which take `processors` cores each.
    std::string submit(const std::string &service, int tasks, int processors, int runMilliseconds,
                       bool isGang = false)
    {
        const std::string id = "00000000000000" + std::to_string(10 + m_jobs++);
        const nlohmann::json payload{{"runMs", runMilliseconds}};
        const nlohmann::json step{
            {"count", tasks}, {"cpu", 1'000 * processors}, {"mem_mb", 256}, {"gang", isGang}};
        const nlohmann::json body{{"spec", payload.dump()}, {"steps", {step}}};
        const std::string path = "/" + service + "/" + id;
        EXPECT_EQ(call("node-1", "POST", path, body.dump()).response.status, 200);
        return path;
    }
    std::string stateOf(const std::string &path)
    {
        const HttpAnswer answer = call("node-2", "GET", path);
        return answer.response.status == 200
            ? nlohmann::json::parse(answer.response.body).value("state", "")
            : std::to_string(answer.response.status);
    }
    void expectCompleted(const std::vector<std::string> &paths)
    {
        for (const std::string &path : paths) {
            EXPECT_TRUE(LocalSystem::waitUntil([&] { return stateOf(path) == "completed"; },
                                               std::chrono::milliseconds(15'000)))
                << path << " is " << stateOf(path);
        }
        EXPECT_EQ(violations(), "[]");
    }

private:
    std::map<std::string, std::string> m_queues;
    int m_jobs = 0;
};

// A third of the ceiling is 8 cores, and each task takes 10.
TEST_F(SharedCeiling, JobsOfAllPoolsEndThoughNoTaskFitsIntoAnEvenPart)
{
    std::vector<std::string> paths(Services.size());
    std::transform(Services.begin(), Services.end(), paths.begin(),
                   [&](const std::string &service) { return submit(service, 2, 10, 300); });
    expectCompleted(paths);
}

// The members of a gang start together or not at all, so that a part for one of them is of no use.
TEST_F(SharedCeiling, GangsOfAllPoolsEndThoughEachTakesMostOfTheCeiling)
{
    std::vector<std::string> paths(Services.size());
    std::transform(Services.begin(), Services.end(), paths.begin(),
                   [&](const std::string &service) { return submit(service, 2, 8, 300, true); });
    expectCompleted(paths);
}

// Work that waits for room on the hosts of a pool makes no use of a part of the ceiling.
TEST_F(SharedCeiling, FullPoolsLeaveTheCeilingToOthers)
{
    constexpr int Long = 60'000;
    submit("vanload", 1, 8, Long);
    submit("roundsman", 1, 1, Long);
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return record()["runs"].size() == 2; }));
    submit("vanload", 4, 9, Long); // The pool's only host has 8 cores left.
    submit("roundsman", 4, 16, Long);
    expectCompleted({submit("patchwork", 1, 14, 300)});
}

// A pool whose work uses the whole ceiling learns that another needs a part, and a task larger than
// an even part gets its turn.
TEST_F(SharedCeiling, LargeTaskGetsItsTurnBesideASteadyStreamOfSmallOnes)
{
    submit("vanload", 400, 2, 500);
    submit("roundsman", 400, 2, 500);
    expectCompleted({submit("patchwork", 1, 14, 300)});
}

} // namespace
} // namespace sequoiapier
