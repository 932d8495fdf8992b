// A key is withdrawn while one gateway is cut off or paused. The runners' files of what ran are the
// judge. PAUSE_SECONDS sets how long the gateway is paused.
#include "testing/process/testname.h"
#include "testing/support/loadclient.h"
#include "testing/support/relayedsystem.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// From the operator's answer to the last request that a withdrawn key may start.
constexpr seconds WithdrawalBound{5};
constexpr seconds WatchTime{4}; // past the bound
constexpr int DefaultPauseSeconds = 7;
constexpr const char *Victim = "gateway-1";

class CutOffGateway : public testing::Test
{
protected:
    CutOffGateway()
        : m_relayed(
            testName(),
            {.gateways = 3, .schedulers = 2, .runners = 1, .runnerFlags = {"--work-ms", "2500"}})
    { }

    void SetUp() override { ASSERT_TRUE(m_relayed.start()) << m_relayed.system().output(); }

    void TearDown() override
    {
        m_isStopped = true;
        for (std::thread &thread : m_loads)
            thread.join();
    }

    // More requests than the runner has slots, so that most wait in the gateway, admitted before
    // the withdrawal; their deadlines are past the end of the test. Urgent ones are not shed.
    void fillQueue()
    {
        m_loads.emplace_back([this] {
            runLoad({.ports = {m_relayed.system().member(Victim).workPort},
                     .path = "/v1/queues/prices",
                     .headers = {{"authorization", "Bearer key"},
                                 {"x-deadline-ms", "55000"},
                                 {"x-urgent", "true"}},
                     .concurrency = 40,
                     .requestCount = 40,
                     .requestIdPrefix = "queued-",
                     .deadline = pauseTime() + seconds(15)});
        });
        ASSERT_TRUE(LocalSystem::waitUntil([this] { return startedCount() >= 8; }));
    }

    // New requests under the key until the test ends.
    void keepSending()
    {
        m_loads.emplace_back([this] {
            for (int i = 0; !m_isStopped; ++i) {
                m_relayed.system().call(m_relayed.system().member(Victim).workPort,
                                        {.method = "POST",
                                         .path = "/v1/queues/prices",
                                         .headers = {{"authorization", "Bearer key"},
                                                     {"x-deadline-ms", "4000"},
                                                     {"x-request-id", "sent-" + std::to_string(i)}},
                                         .body = "x"},
                                        milliseconds(100));
            }
        });
    }

    std::size_t startedCount() const
    {
        std::size_t count = 0;
        for (const auto &[id, runs] : m_relayed.runs())
            count += id.starts_with("queued-") || id.starts_with("sent-") ? 1 : 0;
        return count;
    }

    void withdrawKey()
    {
        ASSERT_EQ(m_relayed.system().ctl({"key", "withdraw-digest", keyDigest("key")}), 0)
            << m_relayed.system().output();
        m_answeredAt = std::chrono::steady_clock::now();
    }

    void expectNothingStartsPastTheBound() const
    {
        std::this_thread::sleep_until(m_answeredAt + WithdrawalBound);
        const std::size_t before = startedCount();
        EXPECT_LT(before, 40U) << "nothing was left to start";
        std::this_thread::sleep_for(WatchTime);
        EXPECT_EQ(startedCount(), before);
    }

    static seconds pauseTime()
    {
        const char *text = std::getenv("PAUSE_SECONDS");
        return seconds(text != nullptr ? std::atoi(text) : DefaultPauseSeconds);
    }

    RelayedSystem m_relayed;
    std::vector<std::thread> m_loads;
    std::atomic<bool> m_isStopped = false;
    std::chrono::steady_clock::time_point m_answeredAt;
};

TEST_F(CutOffGateway, FromTheTableRefusesAWithdrawnKeyAndServesOthers)
{
    fillQueue();
    m_relayed.network().cut(Victim, "table", true);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
    EXPECT_EQ(m_relayed.system()
                  .work(Victim, "prices", "other", "x", {{"x-deadline-ms", "9000"}})
                  .response.status,
              200);
}

TEST_F(CutOffGateway, FromItsPeersRefusesAWithdrawnKey)
{
    fillQueue();
    m_relayed.network().cut(Victim, "", true);
    m_relayed.network().cut(Victim, "table", false);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
}

TEST_F(CutOffGateway, FromTableAndPeersRefusesAWithdrawnKeyAndServesWhenMended)
{
    fillQueue();
    m_relayed.network().cut(Victim, "", true);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
    m_relayed.network().cut(Victim, "", false);
    EXPECT_TRUE(LocalSystem::waitUntil([this] {
        return m_relayed.system()
                   .work(Victim, "prices", "other", "x", {{"x-deadline-ms", "6000"}})
                   .response.status
            == 200;
    }));
}

TEST_F(CutOffGateway, PausedStartsNothingUnderAWithdrawnKeyWhenResumed)
{
    fillQueue();
    ChildProcess &gateway = m_relayed.system().member(Victim).process;
    gateway.signal(SIGSTOP);
    keepSending();
    withdrawKey();
    std::this_thread::sleep_until(m_answeredAt + pauseTime());
    const std::size_t before = startedCount();
    gateway.signal(SIGCONT);
    std::this_thread::sleep_for(WatchTime);
    EXPECT_EQ(startedCount(), before);
    EXPECT_EQ(m_relayed.system()
                  .work(Victim, "prices", "other", "x", {{"x-deadline-ms", "9000"}})
                  .response.status,
              200);
}

} // namespace
} // namespace sequoiapier
