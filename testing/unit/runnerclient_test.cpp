// Tests the leases that the client sends and the answers that tell how long a runner holds them. A
// runner that restarts under its identifier has a clock that begins anew.
#include "platform/runnerclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Lease = seconds(5);
constexpr std::int64_t FirstLife = 1'000; // Start of the first incarnation.
constexpr std::int64_t SecondLife = 2'000;
constexpr std::int64_t OldClock = 480'000; // Milliseconds on the first incarnation's clock.

class RunnerClientTest : public testing::Test
{
protected:
    // Sends a renewal whose answer is given later.
    void renew()
    {
        client.renew(target, {.fence = 1, .lease = Lease},
                     [this](const RenewAnswer &answer) { renewed = answer; });
    }
    void start()
    {
        client.start(target, {.order = {.runner = target.id}, .fence = 1, .lease = Lease},
                     [this](const StartAnswer &answer) { started = answer; });
    }
    // Answers the oldest call that was not answered yet.
    void answer(int status, const json &body)
    {
        const HttpCallback callback = std::move(callbacks.front());
        callbacks.pop_front();
        callback({.outcome = HttpOutcome::Answered,
                  .response = {.status = status, .body = body.dump()}});
    }
    void answerRenewal(std::int64_t bornAt, std::int64_t clock)
    {
        answer(200,
               {{"clock_ms", clock},
                {"born", bornAt},
                {"running", json::array()},
                {"ended", json::array()}});
    }
    // Returns the end of the lease in the call that was sent last.
    std::int64_t sentUntil() const { return json::parse(lastBody).value("until_ms", -1); }

    RunnerTarget target{.id = "i-7f3a91c2"};
    std::string lastBody;
    std::deque<HttpCallback> callbacks;
    RenewAnswer renewed;
    StartAnswer started;
    RunnerClient client{[this](const HttpCall &call, HttpCallback callback) {
        lastBody = call.request.body;
        callbacks.push_back(std::move(callback));
    }};
};

TEST_F(RunnerClientTest, StartFollowsARenewal)
{
    start();
    EXPECT_EQ(started.outcome, jobs::StartOutcome::NotSent);
    renew();
    answerRenewal(FirstLife, OldClock);
    start();
    EXPECT_NEAR(double(sentUntil()), double(OldClock + 5'000), 100);
}

// The lease that is meant for the first life ends far in the future of the second.
TEST_F(RunnerClientTest, AnswerOfALaterLifeTellsOfTheLongerLease)
{
    renew();
    answerRenewal(FirstLife, OldClock);
    start();
    answer(200, {{"clock_ms", 500}});
    EXPECT_EQ(started.outcome, jobs::StartOutcome::Started);
    ASSERT_TRUE(started.lease);
    EXPECT_GT(*started.lease, seconds(400));
    renew();
    answerRenewal(SecondLife, 900);
    ASSERT_TRUE(renewed.lease);
    EXPECT_GT(*renewed.lease, seconds(400));
}

TEST_F(RunnerClientTest, AnswerOfTheSameLifeTellsOfTheLeaseThatWasMeant)
{
    renew();
    answerRenewal(FirstLife, OldClock);
    start();
    answer(409, {{"clock_ms", OldClock + 3}, {"reason", "room"}});
    ASSERT_TRUE(started.lease);
    EXPECT_LE(*started.lease, Lease + milliseconds(100));
    EXPECT_GT(*started.lease, Lease - milliseconds(100));
}

TEST_F(RunnerClientTest, RefusalThatTakesNoLeaseTellsOfNone)
{
    renew();
    answerRenewal(FirstLife, OldClock);
    for (const int status : {421, 429, 503}) {
        start();
        answer(status, json::object());
        EXPECT_FALSE(started.lease) << status;
    }
}

// A row that can't be read is one of the 500 that a runner lists at a time.
TEST_F(RunnerClientTest, FullListOfEndsIsNotComplete)
{
    for (const int count : {0, 499, 500}) {
        json ends = json::array();
        for (int i = 1; i <= count; ++i)
            ends.push_back({i, "5c0e7a21d94b36f8.0.0." + std::to_string(i), 1, "done", ""});
        if (count > 0)
            ends[0] = "unreadable";
        renew();
        answer(200, {{"clock_ms", OldClock}, {"born", FirstLife}, {"ended", ends}});
        EXPECT_EQ(renewed.report.areEndsComplete, count < 500) << count;
    }
}

// Answers on different connections may overtake each other.
TEST_F(RunnerClientTest, LateAnswerOfAnEarlierLifeSetsNoClock)
{
    renew();
    renew();
    const HttpCallback early = std::move(callbacks.front());
    callbacks.pop_front();
    answerRenewal(SecondLife, 700);
    callbacks.push_front(early);
    answerRenewal(FirstLife, OldClock);
    renew();
    EXPECT_LT(sentUntil(), 10'000);
}

} // namespace
} // namespace sequoiapier
