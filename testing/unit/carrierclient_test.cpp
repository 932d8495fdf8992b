// Tests the calls to runners that an owner leaves to its carriers. A call that is answered twice,
// never or with the wrong outcome has a task run twice or stand still.
#include "node/carrierclient.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

class CarrierClientTest : public testing::Test
{
protected:
    struct Message
    {
        Endpoint endpoint;
        api::CarryCall call;
        CarrierClient::SendCallback answer;
    };

    CarrierClientTest() { carriers.setCarriers("owner/1", {{"a", {"10.0.0.1", 7000}}}); }

    void call(int runner = 0)
    {
        HttpCall item{.address = "10.1.0." + std::to_string(runner),
                      .port = 80,
                      .deadline = now + milliseconds(500)};
        item.request = {.method = "POST", .path = "/order", .body = "body"};
        carriers.call(std::move(item), [this](const HttpAnswer &answer) {
            outcomes.push_back(answer.outcome);
            statuses.push_back(answer.response.status);
        });
    }

    void advance(Duration time)
    {
        const TimePoint end = now + time;
        while (wake && *wake <= end) {
            now = std::max(now, *wake);
            wake.reset();
            carriers.onWake();
        }
        now = end;
    }

    static api::RunnerAnswer answerTo(const api::RunnerCall &call, int status, bool isSent = true)
    {
        api::RunnerAnswer answer;
        answer.number = call.number;
        answer.status = status;
        answer.isSent = isSent;
        return answer;
    }

    void reply(std::size_t index, std::vector<api::RunnerAnswer> answers, bool isLeaving = false)
    {
        api::CarryReply message;
        message.answers = std::move(answers);
        message.isLeaving = isLeaving;
        messages.at(index).answer(&message, true);
    }

    TimePoint now{milliseconds(100'000)};
    std::optional<TimePoint> wake;
    std::vector<Message> messages;
    std::vector<HttpCall> directCalls;
    std::vector<HttpOutcome> outcomes;
    std::vector<int> statuses;
    CarrierClient carriers{{.direct = [this](const HttpCall &call,
                                             const HttpCallback &) { directCalls.push_back(call); },
                            .send =
                                [this](const Endpoint &endpoint, const api::CarryCall &message,
                                       TimePoint, CarrierClient::SendCallback answer) {
                                    messages.push_back({endpoint, message, std::move(answer)});
                                },
                            .now = [this] { return now; },
                            .wakeAt = [this](TimePoint due) { wake = due; },
                            .onFailed = [](const std::string &, std::string_view) {}}};
};

using Outcomes = std::vector<HttpOutcome>;

TEST_F(CarrierClientTest, CallsOfAMomentGoInOneMessageAndAnswersComeInAny)
{
    for (int runner = 0; runner < 3; ++runner)
        call(runner);
    advance(milliseconds(5));
    ASSERT_EQ(messages.size(), 1U);
    const std::vector<api::RunnerCall> sent = messages[0].call.calls;
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[0].address, "10.1.0.0");
    EXPECT_EQ(sent[0].path, "/order");
    EXPECT_LE(sent[0].timeoutMicroseconds, 500'000);
    reply(0, {answerTo(sent[1], 200)});
    EXPECT_EQ(statuses, std::vector<int>{200});
    ASSERT_EQ(messages.size(), 2U) << "a message waits for the other answers";
    EXPECT_TRUE(messages[1].call.calls.empty());
    reply(1, {answerTo(sent[0], 409), answerTo(sent[2], 0), answerTo(sent[1], 200)});
    EXPECT_EQ(outcomes,
              (Outcomes{HttpOutcome::Answered, HttpOutcome::Answered, HttpOutcome::Lost}));
    EXPECT_EQ(messages.size(), 2U) << "no message without calls under way";
}

TEST_F(CarrierClientTest, CallThatTheCarrierDidNotSendHasNotRun)
{
    call();
    advance(milliseconds(5));
    reply(0, {answerTo(messages[0].call.calls[0], 0, false)});
    EXPECT_EQ(outcomes, Outcomes{HttpOutcome::NotSent});
}

TEST_F(CarrierClientTest, CarrierThatWasNotReachedIsReplacedByDirectCalls)
{
    call();
    advance(milliseconds(5));
    messages[0].answer(nullptr, false);
    EXPECT_EQ(directCalls.size(), 1U);
    EXPECT_TRUE(outcomes.empty());
    call();
    EXPECT_EQ(directCalls.size(), 2U) << "it is left out for a while";
}

TEST_F(CarrierClientTest, CallsAtACarrierThatDiesAreLostOnce)
{
    call();
    advance(milliseconds(5));
    call(1);
    advance(milliseconds(5));
    ASSERT_EQ(messages.size(), 2U);
    messages[1].answer(nullptr, true);
    EXPECT_EQ(outcomes, (Outcomes{HttpOutcome::Lost, HttpOutcome::Lost}));
    reply(0, {answerTo(messages[0].call.calls[0], 200)});
    EXPECT_EQ(outcomes.size(), 2U);
    EXPECT_TRUE(directCalls.empty());
}

TEST_F(CarrierClientTest, SilentCarrierLosesItsCallsSoonAfterTheirDeadline)
{
    call();
    advance(milliseconds(500));
    EXPECT_TRUE(outcomes.empty());
    advance(CarrierClient::AnswerMargin + milliseconds(100));
    EXPECT_EQ(outcomes, Outcomes{HttpOutcome::Lost});
}

// This process stood still; the answers wait in its socket.
TEST_F(CarrierClientTest, DelayOfTheOwnerIsNoFailureOfTheCarrier)
{
    call();
    advance(milliseconds(5));
    now += milliseconds(2'000);
    carriers.onWake();
    EXPECT_TRUE(outcomes.empty());
    reply(0, {answerTo(messages[0].call.calls[0], 200)});
    EXPECT_EQ(outcomes, Outcomes{HttpOutcome::Answered});
}

TEST_F(CarrierClientTest, LeavingCarrierGetsNoNewCallsAndAnswersThoseUnderWay)
{
    call();
    advance(milliseconds(5));
    const api::RunnerCall sent = messages[0].call.calls[0];
    reply(0, {}, true);
    call(1);
    EXPECT_EQ(directCalls.size(), 1U);
    ASSERT_EQ(messages.size(), 2U);
    reply(1, {answerTo(sent, 200)}, true);
    EXPECT_EQ(outcomes, Outcomes{HttpOutcome::Answered});
}

TEST_F(CarrierClientTest, CallsWithoutCarriersAreDirect)
{
    carriers.setCarriers("owner/1", {});
    call();
    EXPECT_EQ(directCalls.size(), 1U);
    EXPECT_TRUE(messages.empty());
}

} // namespace
} // namespace sequoiapier
