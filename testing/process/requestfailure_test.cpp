// Kills, pauses and outages under load, checked against the runner's record of the runs.
#include "testing/process/failuretest.h"
#include "testing/support/rawconnection.h"

#include <algorithm>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

class RequestFailure : public FailureTest
{
};

TEST_F(RequestFailure, KilledGatewayDisturbsOnlyWhatItHeld)
{
    LoadOptions options = load("kill-", 2'000, false);
    options.onStart = [this](unsigned count) {
        if (count == 500)
            kill("gateway-1");
    };
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    unsigned disturbed = 0;
    for (const LoadOutcome &outcome : result.outcomes)
        disturbed += outcome.outcome == HttpOutcome::Lost ? 1 : 0;
    EXPECT_LE(disturbed, Concurrency);
    EXPECT_GE(result.okCount, 1'000U);
}

TEST_F(RequestFailure, KilledSchedulerIsSucceeded)
{
    LoadOptions options = load("before-", 200, false);
    ASSERT_EQ(runLoad(options).okCount, 200U);
    kill("scheduler-1");
    options = load("after-", 4'000, false);
    options.requestsPerSecond = 400;
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    EXPECT_EQ(result.okCount, 4'000U);
}

TEST_F(RequestFailure, SchedulerPausedPastItsLeaseLendsNothingTwice)
{
    system().member("scheduler-1").process.signal(SIGSTOP);
    LoadOptions options = load("paused-", 3'000, false);
    options.requestsPerSecond = 400;
    options.onStart = [this](unsigned count) {
        if (count == 2'400)
            system().member("scheduler-1").process.signal(SIGCONT);
    };
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    EXPECT_EQ(result.okCount, 3'000U);
    const auto record = nlohmann::json::parse(system().fetch("runner-1", "/record").response.body);
    EXPECT_LE(record.at("peakRunning").get<int>(), 8);
    EXPECT_EQ(record.at("refused").get<int>(), 0) << "more slots were lent than there are";
}

TEST_F(RequestFailure, ServesOnThroughAPlatformOutage)
{
    ASSERT_TRUE(system().setFaults("table", R"({"outage": true})"));
    LoadOptions options = load("outage-", 4'800, false);
    options.requestsPerSecond = 400; // 12 s in total, longer than every lease.
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    EXPECT_GE(result.okCount, 4'560U) << "95% of the capacity with all processes alive";
    ASSERT_TRUE(system().setFaults("table", "{}"));
    EXPECT_EQ(runLoad(load("healed-", 200, false)).okCount, 200U);
}

TEST_F(RequestFailure, PausedGatewayAnswersNothingUnderALapsedLease)
{
    ChildProcess &gateway = system().member("gateway-1").process;
    gateway.signal(SIGSTOP);
    LoadOptions options = load("frozen-", 100, false);
    options.deadline = milliseconds(1'000);
    options.onStart = [&](unsigned count) {
        if (count == 80) // 40 requests unanswered, 8 at once: 5 s > 3 s lease.
            gateway.signal(SIGCONT);
    };
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    EXPECT_TRUE(LocalSystem::waitUntil([this] { return isServing("gateway-1"); }));
}

TEST_F(RequestFailure, GracefulShutdownAnswersEverything)
{
    LoadOptions options = load("drain-", 200, false);
    options.headers.push_back({"x-work-ms", "20"});
    options.onStart = [this](unsigned count) {
        if (count == 100)
            system().member("gateway-1").process.signal(SIGTERM);
    };
    const LoadResult result = runLoad(options);
    expectTruthful(result, runs());
    for (const LoadOutcome &outcome : result.outcomes) {
        EXPECT_NE(outcome.outcome, HttpOutcome::Lost) << outcome.requestId;
        EXPECT_NE(outcome.status, 504) << outcome.requestId << " waited without a loan";
    }
    EXPECT_EQ(system().member("gateway-1").process.waitExit(LocalSystem::Timeout), 0);
}

class Shutdown : public OneServiceTest
{
protected:
    // Quiet time far longer than the pause between two requests of the test.
    std::vector<std::string> gatewayFlags() const override { return {"--quiet-ms", "3000"}; }

    static std::string workRequest(const std::string &requestId)
    {
        return "POST /v1/queues/prices HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key\r\n"
               "x-request-id: "
            + requestId + "\r\ncontent-length: 1\r\n\r\nx";
    }
};

TEST_F(Shutdown, KeptConnectionIsToldNotRun)
{
    Member &gateway = system().member("gateway-1");
    const RawConnection connection(gateway.workPort);
    ASSERT_TRUE(connection.send(workRequest("kept-1")));
    ASSERT_NE(connection.receiveUntil("HTTP/1.1 200", LocalSystem::Timeout), "");
    gateway.process.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    ASSERT_TRUE(connection.send(workRequest("kept-2")));
    const std::string answer = connection.receiveUntil("not-run", LocalSystem::Timeout);
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("connection: close"), std::string::npos) << answer;
    EXPECT_TRUE(connection.waitClosed(LocalSystem::Timeout));
    EXPECT_EQ(gateway.process.waitExit(LocalSystem::Timeout), 0);
    const HttpAnswer record = system().fetch("runner-1", "/record");
    EXPECT_EQ(record.response.body.find("kept-2"), std::string::npos);
}

class SteadyTraffic : public OneServiceTest
{
protected:
    std::vector<std::string> gatewayFlags() const override { return {"--drain-ms", "1500"}; }

    // Stops the gateway during calls to its `port` and expects an answer to every call until the
    // gateway refuses connections.
    void expectNoneLost(std::uint16_t port, const std::string &path)
    {
        ChildProcess &gateway = system().member("gateway-1").process;
        LoadOptions options{.ports = {port},
                            .path = path,
                            .headers = {{"authorization", "Bearer key"}},
                            .concurrency = 8,
                            .requestCount = 8'000,
                            .requestsPerSecond = 2'000};
        options.onStart = [&gateway](unsigned count) {
            if (count == 1'000)
                gateway.signal(SIGTERM);
        };
        const LoadResult result = runLoad(options);
        const auto lostCount = std::count_if(
            result.outcomes.begin(), result.outcomes.end(),
            [](const LoadOutcome &outcome) { return outcome.outcome == HttpOutcome::Lost; });
        EXPECT_EQ(lostCount, 0);
        EXPECT_EQ(result.outcomes.back().outcome, HttpOutcome::NotSent);
        EXPECT_EQ(gateway.waitExit(LocalSystem::Timeout), 0);
    }
};

// The gateway always has traffic and therefore exits at the deadline of its drain.
TEST_F(SteadyTraffic, OfADrainingGatewayIsAnsweredUntilConnectionsAreRefused)
{
    expectNoneLost(system().member("gateway-1").workPort, "/v1/queues/prices");
}

TEST_F(SteadyTraffic, OfPeersIsAnsweredUntilConnectionsAreRefused)
{
    expectNoneLost(system().member("gateway-1").adminPort, "/healthz");
}

TEST_F(RequestFailure, LeavingRunnerGetsNothingNewAndNothingIsLost)
{
    ASSERT_TRUE(system().setFaults("runner-1", R"({"leaving": true})"));
    LoadOptions options = load("leaving-", 50, false);
    options.headers[1] = {"x-deadline-ms", "500"};
    const LoadResult refused = runLoad(options);
    expectTruthful(refused, runs());
    EXPECT_EQ(refused.okCount, 0U);
    for (const LoadOutcome &outcome : refused.outcomes)
        EXPECT_EQ(outcome.runState, "not-run") << outcome.requestId << " " << outcome.status;
}

TEST_F(RequestFailure, RepeatOfASettlementThroughAnotherGatewayIsNotRunAgain)
{
    const std::vector<HttpHeader> headers{{"x-request-id", "settle-1"}};
    const auto first = system().work("gateway-1", "prices", "key", "x", headers);
    ASSERT_EQ(first.response.status, 200) << first.response.body;
    for (const char *gateway : {"gateway-1", "gateway-2"}) {
        const auto repeat = system().work(gateway, "prices", "key", "x", headers);
        EXPECT_EQ(repeat.response.status, 409) << gateway << " " << repeat.response.body;
    }
    EXPECT_EQ(runs().at("settle-1"), 1);
}

} // namespace
} // namespace sequoiapier
