// A key is withdrawn while one gateway is cut off or paused. The record files of the runners show
// which requests started. PAUSE_SECONDS sets how long the gateway is paused.
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

// Longest time from the operator's answer to the last request that starts under a withdrawn key.
constexpr seconds WithdrawalBound{5};
constexpr seconds ObservationTime{4}; // Time observed after the bound.
constexpr int DefaultPauseSeconds = 7;
constexpr const char *AffectedGateway = "gateway-1";

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
        for (std::thread &thread : m_loadThreads)
            thread.join();
    }

    // Sends more requests than the runner has slots, so that most wait in the gateway, admitted
    // before the withdrawal. Their deadlines are past the end of the test. They are urgent, because
    // urgent requests are not shed.
    void fillQueue()
    {
        m_loadThreads.emplace_back([this] {
            runLoad({.ports = {m_relayed.system().member(AffectedGateway).workPort},
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

    // Sends new requests under the key until the test ends.
    void keepSending()
    {
        m_loadThreads.emplace_back([this] {
            for (int i = 0; !m_isStopped; ++i) {
                m_relayed.system().call(m_relayed.system().member(AffectedGateway).workPort,
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
        std::this_thread::sleep_for(ObservationTime);
        EXPECT_EQ(startedCount(), before);
    }

    static seconds pauseTime()
    {
        const char *text = std::getenv("PAUSE_SECONDS");
        return seconds(text != nullptr ? std::atoi(text) : DefaultPauseSeconds);
    }

    RelayedSystem m_relayed;
    std::vector<std::thread> m_loadThreads;
    std::atomic<bool> m_isStopped = false;
    std::chrono::steady_clock::time_point m_answeredAt;
};

TEST_F(CutOffGateway, FromTheTableRefusesAWithdrawnKeyAndServesOthers)
{
    fillQueue();
    m_relayed.network().cut(AffectedGateway, "table", true);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
    EXPECT_EQ(m_relayed.system()
                  .work(AffectedGateway, "prices", "other", "x", {{"x-deadline-ms", "9000"}})
                  .response.status,
              200);
}

TEST_F(CutOffGateway, FromItsPeersRefusesAWithdrawnKey)
{
    fillQueue();
    m_relayed.network().cut(AffectedGateway, "", true);
    m_relayed.network().cut(AffectedGateway, "table", false);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
}

TEST_F(CutOffGateway, FromTableAndPeersRefusesAWithdrawnKeyAndServesWhenMended)
{
    fillQueue();
    m_relayed.network().cut(AffectedGateway, "", true);
    withdrawKey();
    keepSending();
    expectNothingStartsPastTheBound();
    m_relayed.network().cut(AffectedGateway, "", false);
    EXPECT_TRUE(LocalSystem::waitUntil([this] {
        return m_relayed.system()
                   .work(AffectedGateway, "prices", "other", "x", {{"x-deadline-ms", "6000"}})
                   .response.status
            == 200;
    }));
}

TEST_F(CutOffGateway, PausedStartsNothingUnderAWithdrawnKeyWhenResumed)
{
    fillQueue();
    ChildProcess &gateway = m_relayed.system().member(AffectedGateway).process;
    gateway.signal(SIGSTOP);
    keepSending();
    withdrawKey();
    std::this_thread::sleep_until(m_answeredAt + pauseTime());
    const std::size_t before = startedCount();
    gateway.signal(SIGCONT);
    std::this_thread::sleep_for(ObservationTime);
    EXPECT_EQ(startedCount(), before);
    EXPECT_EQ(m_relayed.system()
                  .work(AffectedGateway, "prices", "other", "x", {{"x-deadline-ms", "9000"}})
                  .response.status,
              200);
}

} // namespace
} // namespace sequoiapier
