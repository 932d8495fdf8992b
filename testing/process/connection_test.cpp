// Connections to runners that go silent permanently, and runners that are killed or paused. Results
// are checked against the relay between gateways and runners and the record files of the runners.
#include "testing/process/testname.h"
#include "testing/support/loadclient.h"
#include "testing/support/relayedsystem.h"

#include <gtest/gtest.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds RequestDeadline{2'000};
constexpr milliseconds AnswerMargin{100};
constexpr milliseconds MaxProofAge{1'000};
constexpr unsigned Concurrency = 8;

class Connection : public testing::Test
{
protected:
    Connection()
        : m_relayed(testName(),
                    {.runners = 4,
                     .gatewayFlags = {"--longest-work-ms", "5000"},
                     .schedulerFlags = {"--longest-work-ms", "5000"},
                     .runnerFlags = {"--work-ms", "20"}})
    { }

    void SetUp() override { ASSERT_TRUE(m_relayed.start()) << m_relayed.system().output(); }

    LoadOptions load(const std::string &prefix, unsigned count, bool isIdempotent)
    {
        return {.ports = m_relayed.callerPorts(),
                .path = "/v1/queues/prices",
                .headers = {{"authorization", "Bearer key"},
                            {"x-deadline-ms", std::to_string(RequestDeadline.count())},
                            {"x-idempotent", isIdempotent ? "true" : "false"}},
                .concurrency = Concurrency,
                .requestCount = count,
                .requestsPerSecond = 200,
                .requestIdPrefix = prefix};
    }

    static void expectAnsweredInTime(const LoadResult &result)
    {
        std::map<std::pair<int, std::string>, unsigned> counts;
        for (const LoadOutcome &outcome : result.outcomes)
            ++counts[{outcome.status, outcome.runState}];
        for (const auto &[answer, count] : counts)
            std::cout << "  " << answer.first << " " << answer.second << ": " << count << "\n";
        for (const LoadOutcome &outcome : result.outcomes) {
            const auto bound = std::chrono::microseconds(RequestDeadline + AnswerMargin);
            EXPECT_EQ(outcome.outcome, HttpOutcome::Answered) << outcome.requestId;
            EXPECT_LE(outcome.microseconds, double(bound.count())) << outcome.requestId;
        }
    }

    void expectTruthful(const LoadResult &result) const
    {
        const std::map<std::string, int> runs = m_relayed.runs();
        for (const LoadOutcome &outcome : result.outcomes) {
            const auto found = runs.find(outcome.requestId);
            const int count = found != runs.end() ? found->second : 0;
            EXPECT_LE(count, 1) << outcome.requestId;
            if (outcome.runState == "not-run") {
                EXPECT_EQ(count, 0) << outcome.requestId << " status " << outcome.status;
            }
            if (outcome.status == 200) {
                EXPECT_EQ(count, 1) << outcome.requestId;
            }
        }
    }

    unsigned runCount(const std::string &runner) const
    {
        return unsigned(m_relayed.runsOf(runner).size());
    }

    RelayedSystem m_relayed;
};

TEST_F(Connection, IdempotentRequestsOnSilentConnectionsAreAnsweredByAnother)
{
    std::size_t silencedCount = 0;
    LoadOptions options = load("price-", 1'000, true);
    options.onStart = [&](unsigned count) {
        if (count % 200 == 100)
            silencedCount += m_relayed.network().silence("gateways", "runner-1");
    };
    const LoadResult result = runLoad(options);
    expectAnsweredInTime(result);
    EXPECT_GT(silencedCount, 0U);
    EXPECT_EQ(result.okCount, 1'000U);
}

TEST_F(Connection, NoSettlementGoesDownAConnectionNotProvedAliveWithinTheLastSecond)
{
    // Each pause in the load leaves idle connections whose last proof of life is too old.
    for (int round = 0; round < 3; ++round) {
        const std::string name = std::to_string(round);
        EXPECT_EQ(runLoad(load("price-" + name + "-", 100, true)).okCount, 100U);
        std::this_thread::sleep_for(MaxProofAge + milliseconds(200));
        m_relayed.network().silence("gateways", "runner-" + std::to_string(round + 1));
        const LoadResult result = runLoad(load("settle-" + name + "-", 100, false));
        expectAnsweredInTime(result);
        expectTruthful(result);
        EXPECT_EQ(result.okCount, 100U);
    }
    unsigned settlements = 0;
    for (const std::string &runner : m_relayed.runners()) {
        for (const RelayedRequest &request : m_relayed.network().requests("gateways", runner)) {
            if (!request.requestId.starts_with("settle-"))
                continue;
            ++settlements;
            EXPECT_LE(request.timeSinceLastAlive, MaxProofAge) << request.requestId;
        }
    }
    EXPECT_EQ(settlements, 300U);
}

TEST_F(Connection, KilledRunnerDisturbsOnlyWhatItHeldAndReturns)
{
    LoadOptions options = load("settle-", 1'000, false);
    options.onStart = [&](unsigned count) {
        if (count == 300)
            m_relayed.system().member("runner-1").process.signal(SIGKILL);
        if (count == 500)
            m_relayed.system().replace("runner-1");
    };
    const LoadResult result = runLoad(options);
    expectAnsweredInTime(result);
    expectTruthful(result);
    EXPECT_GE(result.okCount, 1'000U - Concurrency - 4 * 3)
        << "what it held, and three failures before each ejection";
    const unsigned before = runCount("runner-1");
    EXPECT_TRUE(LocalSystem::waitUntil([&] {
        runLoad(load("return-" + std::to_string(runCount("runner-2")) + "-", 40, false));
        return runCount("runner-1") > before;
    }));
}

TEST_F(Connection, PausedRunnerIsEjectedAndReturns)
{
    LoadOptions options = load("settle-", 1'600, false); // 8 s in total.
    options.headers[1] = {"x-deadline-ms", "500"};
    options.onStart = [&](unsigned count) {
        if (count == 200)
            m_relayed.system().member("runner-1").process.signal(SIGSTOP);
        if (count == 1'000)
            m_relayed.system().member("runner-1").process.signal(SIGCONT);
    };
    const LoadResult result = runLoad(options);
    expectAnsweredInTime(result);
    expectTruthful(result);
    // A paused runner still accepts connections. Up to one request per slot has an unknown outcome,
    // and so have the probes after that.
    EXPECT_GE(result.okCount, 1'600U - 8 - 3);
    const unsigned before = runCount("runner-1");
    EXPECT_TRUE(LocalSystem::waitUntil([&] {
        runLoad(load("return-" + std::to_string(runCount("runner-2")) + "-", 40, false));
        return runCount("runner-1") > before;
    }));
}

} // namespace
} // namespace sequoiapier
