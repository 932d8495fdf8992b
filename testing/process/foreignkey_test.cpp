// Tests of calls with a valid key of another team than the job's. Such a call must neither learn
// whether the job exists nor change it.
#include "testing/process/platformtest.h"

#include <thread>

namespace sequoiapier {
namespace {

constexpr const char *JobA = "5c0e7a21d94b36f8";
constexpr std::chrono::milliseconds OwnershipSettles{1'500}; // after all nodes have joined
constexpr const char *Unknown = "5c0e7a21d94b36f9";

class ForeignKey : public PlatformTest
{
protected:
    void SetUp() override
    {
        PlatformTest::SetUp();
        configureTeams(2);
        for (const std::string &node : nodes()) {
            ASSERT_TRUE(LocalSystem::waitUntil(
                [&] { return status(node, "GET", "/open/", "other-key") == 200; }));
        }
    }

    // Two teams; "/open/" needs no key.
    void configureTeams(int version)
    {
        using nlohmann::json;
        json routes = json::array();
        for (const std::string prefix : {"/quotes/", "/levies/", "/open/"}) {
            routes.push_back({{"name", "r" + prefix},
                              {"host", "127.0.0.1"},
                              {"prefix", prefix},
                              {"timeout_ms", 8'000},
                              {"slo_ms", 600},
                              {"service", "vanload"},
                              {"max_attempts", 3},
                              {"stretch", 1.6},
                              {"public", prefix == "/open/"}});
        }
        const json services{{{"name", "vanload"}}, {{"name", "sundries"}, {"standby", true}}};
        const json teams{{{"name", "drivers"}, {"api_keys", {"good-key", "second-key"}}},
                         {{"name", "others"}, {"api_keys", {"other-key"}}}};
        writeOperatorRow(
            "config",
            {{"version", version}, {"routes", routes}, {"services", services}, {"tenants", teams}});
    }

    int status(const std::string &node, const std::string &method, const std::string &path,
               const std::string &key)
    {
        const std::string body = method == "POST" ? jobBody(1, 3'000) : std::string();
        return call(node, method, path, body, key).response.status;
    }
};

TEST_F(ForeignKey, LearnsNothingOfAJobAndChangesNothing)
{
    const std::string path = std::string("/quotes/") + JobA;
    ASSERT_EQ(status("node-1", "POST", path, "good-key"), 200);
    ASSERT_TRUE(waitState("node-1", JobA, "running"));
    for (const std::string &node : nodes()) {
        for (const std::string prefix : {"/quotes/", "/levies/", "/open/"}) {
            for (const std::string method : {"GET", "DELETE"}) {
                EXPECT_EQ(status(node, method, prefix + JobA, "other-key"),
                          status(node, method, prefix + Unknown, "other-key"))
                    << node << " " << method << " " << prefix;
            }
            EXPECT_EQ(status(node, "POST", prefix + JobA, "other-key"), 401) << node << prefix;
        }
        EXPECT_EQ(status(node, "DELETE", std::string("/open/") + JobA, ""), 410) << node;
    }
    EXPECT_EQ(stateOf("node-1", JobA), "running");
    EXPECT_EQ(runsOf(JobA).size(), 1U);
}

TEST_F(ForeignKey, EveryKeyOfTheTeamWorksUnderEveryPrefix)
{
    ASSERT_EQ(status("node-1", "POST", std::string("/quotes/") + JobA, "good-key"), 200);
    for (const std::string prefix : {"/quotes/", "/levies/"}) {
        EXPECT_EQ(status("node-2", "GET", prefix + JobA, "second-key"), 200) << prefix;
        EXPECT_EQ(status("node-3", "POST", prefix + JobA, "second-key"), 200) << prefix;
    }
    EXPECT_EQ(status("node-2", "DELETE", std::string("/levies/") + JobA, "second-key"), 200);
}

TEST_F(ForeignKey, JobOfAnOpenQueueNeedsNoKey)
{
    const std::string path = std::string("/open/") + JobA;
    ASSERT_EQ(status("node-1", "POST", path, "good-key"), 200);
    EXPECT_EQ(status("node-2", "GET", path, ""), 200);
    EXPECT_EQ(status("node-3", "GET", path, "other-key"), 200);
    EXPECT_EQ(status("node-2", "DELETE", path, ""), 200);
}

// The next owner has only the job's rows.
TEST_F(ForeignKey, LearnsNothingFromTheNextOwner)
{
    const std::string path = std::string("/quotes/") + JobA;
    std::this_thread::sleep_for(OwnershipSettles);
    ASSERT_EQ(status("node-1", "POST", path, "good-key"), 200);
    const std::string killed = owner();
    system().member(killed).process.signal(SIGKILL);
    const std::string asked = otherThan(killed);
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return owner() != killed; }));
    EXPECT_TRUE(
        LocalSystem::waitUntil([&] { return status(asked, "GET", path, "good-key") == 200; }));
    EXPECT_EQ(status(asked, "GET", path, "other-key"), 410);
    EXPECT_EQ(status(asked, "DELETE", path, "other-key"), 410);
    EXPECT_EQ(status(asked, "POST", path, "other-key"), 401);
    EXPECT_EQ(status(asked, "GET", path, "good-key"), 200);
}

} // namespace
} // namespace sequoiapier
