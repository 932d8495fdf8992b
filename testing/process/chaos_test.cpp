// Non-idempotent requests over three gateways while processes are killed, paused and cut off at
// random. Answers are checked against the record files of the runners. CHAOS_REQUESTS sets the
// number of requests and CHAOS_SEED the seed.
#include "testing/support/faultschedule.h"
#include "testing/support/loadclient.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr unsigned DefaultRequests = 3'000;
constexpr std::uint64_t DefaultSeed = 20261204;
constexpr unsigned LongRequests = 20'000; // Runs of this size use a higher load.
constexpr milliseconds RequestDeadline{1'500};
constexpr milliseconds AnswerMargin{100};
constexpr milliseconds ClientMargin{500}; // Time that the client waits past the deadline.

std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : defaultValue;
}

class Chaos : public testing::Test
{
protected:
    Chaos()
        : m_relayed("Chaos",
                    {.gateways = 3,
                     .schedulers = 2,
                     .runners = 3,
                     .gatewayFlags = {"--longest-work-ms", "3000"},
                     .schedulerFlags = {"--lease-ms", "1000", "--longest-work-ms", "3000",
                                        "--outage-lease-ms", "4000"},
                     .runnerFlags = {"--work-ms", "10"}})
    { }

    void SetUp() override { ASSERT_TRUE(m_relayed.start()) << m_relayed.system().output(); }

    LoadOptions load(unsigned requestCount)
    {
        const bool isLong = requestCount >= LongRequests;
        return {.ports = m_relayed.callerPorts(),
                .path = "/v1/queues/prices",
                .headers = {{"authorization", "Bearer key"},
                            {"x-deadline-ms", std::to_string(RequestDeadline.count())}},
                .concurrency = isLong ? 300U : 100U,
                .requestCount = requestCount,
                .bodyBytes = 100,
                .requestsPerSecond = isLong ? 400.0 : 150.0,
                .requestIdPrefix = "settle-",
                .repeatsUnanswered = true,
                .deadline = RequestDeadline + ClientMargin};
    }

    // Whether the gateway was killed or paused while it held the request.
    static bool isDisturbed(const LoadOutcome &outcome, const FaultSchedule &schedule)
    {
        const TimePoint end = outcome.sentAt + Duration(std::int64_t(outcome.microseconds));
        for (const FaultSchedule::Window &window : schedule.windows()) {
            if (window.callerPort == outcome.port && outcome.sentAt <= window.to
                && window.from <= end)
                return true;
        }
        return false;
    }

    static std::string describe(const LoadOutcome &outcome, const FaultSchedule &schedule)
    {
        std::string text = outcome.requestId + " after "
            + std::to_string(std::int64_t(outcome.microseconds)) + " us";
        const auto milli = [&](TimePoint time) {
            return std::to_string((time - outcome.sentAt).count() / 1'000);
        };
        for (const FaultSchedule::Window &window : schedule.windows()) {
            if (window.callerPort == outcome.port)
                text += "; " + window.fault + " from " + milli(window.from) + " ms to "
                    + milli(window.to) + " ms";
        }
        return text;
    }

    static void expectAnsweredInTime(const LoadOutcome &outcome, const FaultSchedule &schedule)
    {
        EXPECT_EQ(outcome.outcome, HttpOutcome::Answered) << describe(outcome, schedule);
        const auto bound = std::chrono::microseconds(RequestDeadline + AnswerMargin);
        EXPECT_LE(outcome.microseconds, double(bound.count())) << describe(outcome, schedule);
    }

    // Checks the last outcome of a request identifier against the number of its runs.
    static void expectTruthful(const LoadOutcome &last, int runCount)
    {
        EXPECT_LE(runCount, 1) << last.requestId;
        if (last.status == 200) {
            EXPECT_EQ(runCount, 1) << last.requestId;
        }
        if (last.runState == "not-run" && !last.isRepeat) {
            EXPECT_EQ(runCount, 0) << last.requestId << " status " << last.status;
        }
    }

    static void print(const LoadResult &result, const FaultSchedule &schedule, unsigned disturbed)
    {
        std::map<int, unsigned> byStatus;
        for (const LoadOutcome &outcome : result.outcomes)
            ++byStatus[outcome.status];
        std::cout << result.outcomes.size() << " attempts, " << disturbed << " disturbed\n";
        for (const auto &[status, count] : byStatus)
            std::cout << "  status " << status << ": " << count << "\n";
        for (const auto &[fault, count] : schedule.counts())
            std::cout << "  " << fault << ": " << count << "\n";
    }

    RelayedSystem m_relayed;
};

TEST_F(Chaos, NoSettlementRunsTwiceAndEveryAnswerIsTrue)
{
    const auto requestCount = unsigned(environmentNumber("CHAOS_REQUESTS", DefaultRequests));
    FaultSchedule schedule(m_relayed, environmentNumber("CHAOS_SEED", DefaultSeed));
    schedule.start();
    const LoadResult result = runLoad(load(requestCount));
    schedule.stop();
    EXPECT_TRUE(schedule.crashed().empty()) << schedule.crashed().front();

    const std::map<std::string, int> runs = m_relayed.runs();
    const auto runCount = [&](const std::string &id) {
        const auto found = runs.find(id);
        return found != runs.end() ? found->second : 0;
    };
    unsigned disturbed = 0;
    std::map<std::string, LoadOutcome> last;
    for (const LoadOutcome &outcome : result.outcomes) {
        last[outcome.requestId] = outcome;
        if (isDisturbed(outcome, schedule))
            ++disturbed;
        else
            expectAnsweredInTime(outcome, schedule);
    }
    for (const auto &[id, outcome] : last)
        expectTruthful(outcome, runCount(id));
    print(result, schedule, disturbed);
    EXPECT_EQ(last.size(), requestCount);
    EXPECT_GE(result.okCount, requestCount / 3) << "too few ran for the test to tell anything";
    for (const std::string &gateway : m_relayed.gateways())
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return m_relayed.isServing(gateway); }))
            << gateway;
}

} // namespace
} // namespace sequoiapier
