// FailureTest is a fixture with a runner, two gateways and two schedulers for one service. It
// checks answers against the runner's record of the runs.
#pragma once

#include "testing/process/oneservicetest.h"
#include "testing/support/loadclient.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <map>

namespace sequoiapier {

class FailureTest : public OneServiceTest
{
protected:
    static constexpr unsigned Concurrency = 8;

    void SetUp() override
    {
        OneServiceTest::SetUp();
        if (HasFatalFailure())
            return;
        ASSERT_TRUE(system().waitReady("scheduler-2"));
        ASSERT_TRUE(system().waitReady("gateway-2"));
        ASSERT_TRUE(LocalSystem::waitUntil([this] { return isServing("gateway-2"); }));
    }

    void startAdditionalProcesses() override
    {
        ASSERT_TRUE(system().startScheduler("scheduler-2", {"--zone", "zone-2"}));
        ASSERT_TRUE(system().startGateway("gateway-2", {"--zone", "zone-2"}));
    }

    Configuration configuration() override
    {
        Configuration configuration = OneServiceTest::configuration();
        configuration.maxGateways = 2;
        return configuration;
    }

    bool isServing(const std::string &gateway)
    {
        return system().work(gateway, "prices", "key", "x").response.status == 200;
    }

    LoadOptions load(const std::string &prefix, unsigned requestCount, bool isIdempotent)
    {
        return {.ports
                = {system().member("gateway-1").workPort, system().member("gateway-2").workPort},
                .path = "/v1/queues/prices",
                .headers = {{"authorization", "Bearer key"},
                            {"x-deadline-ms", "4000"},
                            {"x-idempotent", isIdempotent ? "true" : "false"}},
                .concurrency = Concurrency,
                .requestCount = requestCount,
                .requestIdPrefix = prefix};
    }

    // Number of runs by request identifier, as the runner recorded them.
    std::map<std::string, int> runs(const std::string &runner = "runner-1")
    {
        const HttpAnswer answer = system().fetch(runner, "/record");
        return nlohmann::json::parse(answer.response.body).at("runs");
    }

    // Expects at most one run of each request, none if it was refused as not run, and one if it was
    // answered with 200.
    void expectTruthful(const LoadResult &result, const std::map<std::string, int> &runCounts)
    {
        for (const LoadOutcome &outcome : result.outcomes) {
            const auto found = runCounts.find(outcome.requestId);
            const int count = found != runCounts.end() ? found->second : 0;
            EXPECT_LE(count, 1) << outcome.requestId;
            if (outcome.runState == "not-run")
                EXPECT_EQ(count, 0) << outcome.requestId << " status " << outcome.status;
            if (outcome.status == 200)
                EXPECT_EQ(count, 1) << outcome.requestId;
        }
    }

    void kill(const std::string &name)
    {
        ChildProcess &process = system().member(name).process;
        process.signal(SIGKILL);
        EXPECT_TRUE(process.waitExit(LocalSystem::Timeout).has_value());
    }

    static unsigned countOk(const LoadResult &result) { return result.okCount; }
};

} // namespace sequoiapier
