// The host of a runner is leaving, announced by the platform's delayed list, by the runner's own
// refusals, or by both. The runner's record shows which requests reached it.
#include "testing/process/testname.h"
#include "testing/support/loadclient.h"
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr seconds LeavingBound{5}; // Longest time from the notice to the last new request.
constexpr milliseconds ObservationTime{4'000}; // Time observed after the bound.
constexpr const char *LeavingAddress = "127.0.0.11";
constexpr const char *StayingAddress = "127.0.0.12";

class LeavingRunner : public testing::Test
{
protected:
    LeavingRunner()
        : m_system(testName())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startTable());
        ASSERT_TRUE(m_system.startLiveList({"--lag-ms", "2000"}));
        const auto startRunner = [this](const char *name, const char *address) {
            return m_system.startRunner(name, {"--work-address", address, "--work-ms", "200"});
        };
        ASSERT_TRUE(startRunner("leaving", LeavingAddress));
        ASSERT_TRUE(startRunner("staying", StayingAddress));
        ASSERT_TRUE(m_system.startController("controller-1"));
        ASSERT_TRUE(m_system.startScheduler("scheduler-1"));
        ASSERT_TRUE(m_system.startGateway(
            "gateway-1",
            {"--live-list", "127.0.0.1:" + std::to_string(m_system.member("livelist").adminPort)}));
        Configuration configuration;
        configuration.teams = {{.name = "pricing"}};
        configuration.keys = {{.digest = keyDigest("key"), .team = "pricing"}};
        configuration.services
            = {{.name = "prices",
                .runners = {{LeavingAddress, m_system.member("leaving").workPort},
                            {StayingAddress, m_system.member("staying").workPort}}}};
        configuration.queues = {{.name = "prices", .service = "prices"}};
        ASSERT_EQ(m_system.applyConfiguration(toJson(configuration), 0, "first"), 0);
        ASSERT_TRUE(m_system.waitReady("gateway-1"));
        m_load = std::thread([this] { m_result = runLoad(load()); });
        ASSERT_TRUE(LocalSystem::waitUntil([this] { return received("leaving") >= 10; }));
    }

    void TearDown() override
    {
        if (m_load.joinable())
            m_load.join();
    }

    LoadOptions load()
    {
        return {.ports = {m_system.member("gateway-1").workPort},
                .path = "/v1/queues/prices",
                .headers = {{"authorization", "Bearer key"}, {"x-deadline-ms", "4000"}},
                .concurrency = 6,
                .requestCount = 330,
                .requestsPerSecond = 25, // 13 s in total.
                .requestIdPrefix = "settle-"};
    }

    // Number of requests that reached the runner, run or refused.
    std::size_t received(const std::string &runner) const
    {
        const HttpAnswer answer = m_system.fetch(runner, "/record");
        const auto record = nlohmann::json::parse(answer.response.body);
        return record.at("runs").size() + record.at("refused").get<std::size_t>();
    }

    bool setListedState(const std::string &state)
    {
        return m_system
                   .call(m_system.member("livelist").adminPort,
                         {.method = "POST",
                          .path = "/hosts",
                          .body
                          = nlohmann::json{{"address", LeavingAddress}, {"state", state}}.dump()})
                   .response.status
            == 200;
    }

    bool setRefusing(bool isLeaving)
    {
        return m_system.setFaults("leaving", isLeaving ? R"({"leaving": true})" : "{}");
    }

    void expectNoNewRequests(Clock::time_point noticeTime)
    {
        std::this_thread::sleep_until(noticeTime + LeavingBound);
        const std::size_t before = received("leaving");
        std::this_thread::sleep_for(ObservationTime);
        EXPECT_EQ(received("leaving"), before);
        m_load.join();
        EXPECT_EQ(m_result.okCount, 330U) << "all others, and what ran at the notice";
    }

    LocalSystem m_system;
    std::thread m_load;
    LoadResult m_result;
};

TEST_F(LeavingRunner, ToldByTheListAloneGetsNothingNewUntilItIsBack)
{
    const auto noticeTime = Clock::now();
    ASSERT_TRUE(setListedState("leaving"));
    expectNoNewRequests(noticeTime);
    ASSERT_TRUE(setListedState("live"));
    const std::size_t before = received("leaving");
    int sent = 0;
    EXPECT_TRUE(LocalSystem::waitUntil([&] {
        const std::string id = "back-" + std::to_string(sent++);
        m_system.work("gateway-1", "prices", "key", "x",
                      {{"x-deadline-ms", "2000"}, {"x-request-id", id}});
        return received("leaving") > before;
    }));
}

TEST_F(LeavingRunner, ToldByItsRefusalsAloneGetsNothingNew)
{
    const auto noticeTime = Clock::now();
    ASSERT_TRUE(setRefusing(true));
    expectNoNewRequests(noticeTime);
}

TEST_F(LeavingRunner, ToldByBothGetsNothingNew)
{
    const auto noticeTime = Clock::now();
    ASSERT_TRUE(setRefusing(true));
    ASSERT_TRUE(setListedState("leaving"));
    expectNoNewRequests(noticeTime);
}

TEST_F(LeavingRunner, OutageOfTheListDoesNotBringItBack)
{
    const auto noticeTime = Clock::now();
    ASSERT_TRUE(setListedState("leaving"));
    std::this_thread::sleep_until(noticeTime + LeavingBound);
    ASSERT_TRUE(m_system.setFaults("livelist", R"({"outage": true})"));
    expectNoNewRequests(noticeTime);
}

} // namespace
} // namespace sequoiapier
