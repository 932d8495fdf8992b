#include "jobs/adviceboard.h"
#include "platform/adviceclient.h"
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using jobs::Advice;
using jobs::AdviceAnswer;
using jobs::AdviceBoard;
using jobs::AdviceNeed;
using jobs::AdviceOutcome;
using jobs::AdviceQuestion;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AdviceBoardTest : public testing::Test
{
protected:
    // Requests a question about the step after the ones before it.
    void request(const std::string &step, const std::vector<std::string> &runners,
                 AdviceNeed need = AdviceNeed::Room)
    {
        if (m_board.accepts(step, need, m_now))
            m_board.request({.step = step, .need = need, .runners = runners});
    }
    AdviceQuestion askFor(const std::string &step, const std::vector<std::string> &runners,
                          AdviceNeed need = AdviceNeed::Room)
    {
        m_board.clearRequest();
        request(step, runners, need);
        return m_board.takeQuestion().value_or(AdviceQuestion{});
    }
    // Approves the question for `runners`, with tickets for 3 s.
    void approve(const AdviceQuestion &question, const std::vector<std::string> &runners,
                 Duration validity = seconds(3))
    {
        AdviceAnswer answer{.outcome = AdviceOutcome::Answered, .advice = {.validity = validity}};
        for (const std::string &runner : runners)
            answer.advice.approvals.push_back({runner, "ticket of " + runner});
        m_board.onAnswer(question, answer, m_now);
    }

    TimePoint m_now{hours(1)};
    AdviceBoard m_board{{}};
};

TEST_F(AdviceBoardTest, ApprovedRunnersHaveTheirTicketUntilShortlyBeforeItRunsOut)
{
    approve(askFor("a.0.0", {"i-1", "i-2"}), {"i-2"});
    EXPECT_EQ(m_board.ticket("a.0.0", "i-1", m_now), "");
    EXPECT_EQ(m_board.ticket("a.0.0", "i-2", m_now), "ticket of i-2");
    EXPECT_EQ(m_board.ticket("a.0.1", "i-2", m_now), "");
    EXPECT_EQ(m_board.ticket("a.0.0", "i-2", m_now + milliseconds(2'800)), "");
    EXPECT_TRUE(m_board.canBeApproved("a.0.0", "i-2"));
}

// A ticket whose whole lifetime is less than the usual margin would never be used, and asked for
// again and again.
TEST_F(AdviceBoardTest, TicketOfShortLifetimeIsUsedForHalfOfIt)
{
    approve(askFor("a.0.0", {"i-1"}), {"i-1"}, milliseconds(200));
    m_now += milliseconds(90);
    EXPECT_EQ(m_board.ticket("a.0.0", "i-1", m_now), "ticket of i-1");
    m_now += milliseconds(20);
    EXPECT_EQ(m_board.ticket("a.0.0", "i-1", m_now), "");
}

TEST_F(AdviceBoardTest, RefusedRunnersCanNotBeApprovedInTheSameIncarnation)
{
    approve(askFor("a.0.0", {"i-1", "i-2"}), {"i-2"});
    EXPECT_FALSE(m_board.canBeApproved("a.0.0", "i-1"));
    m_board.forgetRunner("i-1");
    EXPECT_TRUE(m_board.canBeApproved("a.0.0", "i-1"));
}

// Guards against steps without room that keep the questions from steps that can start.
TEST_F(AdviceBoardTest, StepsWithRoomAreAskedAboutFirst)
{
    request("a.0.0", {"i-1"}, AdviceNeed::NoRoom);
    request("b.0.1", {"i-1"}, AdviceNeed::Ahead);
    request("c.0.0", {"i-1"}, AdviceNeed::Room);
    request("d.0.0", {"i-1"}, AdviceNeed::Room);
    EXPECT_EQ(m_board.need(), AdviceNeed::Room);
    EXPECT_EQ(m_board.takeQuestion()->step, "c.0.0");
    EXPECT_FALSE(m_board.need());
}

TEST_F(AdviceBoardTest, StepWhoseTicketsExpiredUnusedComesLater)
{
    approve(askFor("a.0.0", {"i-1"}), {"i-1"});
    m_now += seconds(3);
    request("a.0.0", {"i-1"});
    request("b.0.0", {"i-1"});
    EXPECT_EQ(m_board.takeQuestion()->step, "b.0.0");
    m_board.onTicketUsed("a.0.0");
    request("a.0.0", {"i-1"});
    request("b.0.0", {"i-1"});
    EXPECT_EQ(m_board.takeQuestion()->step, "a.0.0");
}

// A step without room would ask whenever its tickets expire, for as long as it waits.
TEST_F(AdviceBoardTest, StepWithoutRoomPausesForLongerEachTime)
{
    std::vector<Duration> times;
    for (int i = 0; i < 6; ++i) {
        const TimePoint before = m_now;
        while (askFor("a.0.0", {"i-1"}, AdviceNeed::NoRoom).step.empty())
            m_now += milliseconds(100);
        times.push_back(m_now - before);
        approve({.step = "a.0.0", .runners = {"i-1"}}, {"i-1"});
    }
    const std::vector<Duration> expected{seconds(0), milliseconds(3'500), seconds(4),
                                         seconds(5), seconds(7),          seconds(11)};
    EXPECT_EQ(times, expected);
    EXPECT_EQ(askFor("a.0.0", {"i-1"}, AdviceNeed::NoRoom).step, "");
    m_board.onTicketUsed("a.0.0");
    EXPECT_EQ(askFor("a.0.0", {"i-1"}, AdviceNeed::NoRoom).step, "a.0.0");
}

// One question that the service rejects must not take the place of all others.
TEST_F(AdviceBoardTest, RejectedStepPausesAndOthersDoNot)
{
    m_board.onAnswer(askFor("a.0.0", {"i-1"}), {.outcome = AdviceOutcome::Rejected}, m_now);
    EXPECT_EQ(askFor("a.0.0", {"i-1"}).step, "");
    EXPECT_EQ(askFor("b.0.0", {"i-1"}).step, "b.0.0");
    m_now += milliseconds(500);
    EXPECT_EQ(askFor("a.0.0", {"i-1"}).step, "a.0.0");
}

// A plan that is made while the question is open still finds no ticket for the step.
TEST_F(AdviceBoardTest, AnswerEndsTheRequestThatWasMadeWhileItWasWaitedFor)
{
    const AdviceQuestion open = askFor("a.0.0", {"i-1"});
    request("a.0.0", {"i-1"});
    approve(open, {"i-1"});
    EXPECT_FALSE(m_board.need());
}

TEST_F(AdviceBoardTest, QuestionWithoutAnswerIsAskedAgain)
{
    for (const AdviceOutcome outcome :
         {AdviceOutcome::Unanswered, AdviceOutcome::Busy, AdviceOutcome::NotSent}) {
        m_board.onAnswer(askFor("a.0.0", {"i-1"}), {.outcome = outcome}, m_now);
        EXPECT_TRUE(m_board.canBeApproved("a.0.0", "i-1"));
    }
    EXPECT_EQ(askFor("a.0.0", {"i-1"}).step, "a.0.0");
}

// The fixed time of an answer pays for some runners; more are named for tasks that need them.
TEST_F(AdviceBoardTest, NamesAsManyRunnersAsTheFixedTimePaysForOrTheTasksNeed)
{
    constexpr int RunnerCount = 40;
    std::vector<std::string> runners;
    runners.reserve(RunnerCount);
    for (int i = 0; i < RunnerCount; ++i)
        runners.push_back("i-" + std::to_string(i));
    const auto ask = [&](Duration base, Duration each, std::size_t wanted) {
        m_board.clearRequest();
        m_board.request({.step = "a.0.0",
                         .runners = runners,
                         .wantedRunners = wanted,
                         .baseTime = base,
                         .runnerTime = each});
        return *m_board.takeQuestion();
    };
    EXPECT_EQ(ask(milliseconds(500), milliseconds(0), 1).runners.size(), 30U);
    EXPECT_EQ(ask(milliseconds(500), milliseconds(50), 1).runners.size(), 10U);
    EXPECT_EQ(ask(milliseconds(500), milliseconds(50), 12).runners.size(), 12U);
    EXPECT_EQ(ask(milliseconds(10), milliseconds(50), 1).runners.size(), 1U);
    EXPECT_EQ(ask(milliseconds(500), milliseconds(50), 12).serviceTime, milliseconds(1'100));
}

TEST_F(AdviceBoardTest, AnEndedJobIsForgottenWhole)
{
    approve(askFor("a.0.0", {"i-1"}), {"i-1"});
    approve(askFor("ab.0.0", {"i-1"}), {"i-1"});
    request("a.0.1", {"i-1"});
    m_board.forgetJob("a");
    EXPECT_EQ(m_board.ticket("a.0.0", "i-1", m_now), "");
    EXPECT_NE(m_board.ticket("ab.0.0", "i-1", m_now), "");
    EXPECT_FALSE(m_board.need());
}

TEST(Advice, RowsOfOtherFormsAreLeftOut)
{
    const Result<Advice> parsed
        = parseAdvice(R"({"approved": [["i-1", "t-1"], ["i-2"], 7, [1, 2]], "valid_ms": 3000})");
    ASSERT_TRUE(parsed);
    const Advice &advice = parsed.value();
    ASSERT_EQ(advice.approvals.size(), 1U);
    EXPECT_EQ(advice.approvals[0].runner, "i-1");
    EXPECT_EQ(advice.approvals[0].ticket, "t-1");
    EXPECT_EQ(advice.validity, seconds(3));
}

// An answer that can't be read must not count as the refusal of all runners.
TEST(Advice, AnswerThatCanNotBeReadIsNoAnswer)
{
    for (const char *body : {"not JSON", "{}", R"({"approved": 7, "valid_ms": 3000})",
                             R"({"approved": [["i-1", "t-1"]]})"})
        EXPECT_FALSE(parseAdvice(body)) << body;
    EXPECT_TRUE(parseAdvice(R"({"approved": []})"));
}

TEST(Advice, EndOfACallTellsWhetherTheQuestionOrTheServiceIsAtFault)
{
    const TimePoint now{hours(1)};
    const auto answer = [&](int status, const std::string &retryAfter = {}) {
        HttpAnswer http{.outcome = HttpOutcome::Answered, .response = {.status = status}};
        http.response.body = R"({"approved": [], "valid_ms": 3000})";
        if (!retryAfter.empty())
            http.response.headers.push_back({"retry-after", retryAfter});
        return detail::adviceAnswer(http, now);
    };
    EXPECT_EQ(answer(200).outcome, AdviceOutcome::Answered);
    EXPECT_EQ(answer(400).outcome, AdviceOutcome::Rejected);
    EXPECT_EQ(answer(503).outcome, AdviceOutcome::Busy);
    EXPECT_EQ(answer(429, "2").outcome, AdviceOutcome::Busy);
    EXPECT_EQ(answer(429, "2").retryAt, now + seconds(2));
    EXPECT_EQ(answer(429, "soon").retryAt, std::nullopt);
    EXPECT_EQ(detail::adviceAnswer({.outcome = HttpOutcome::Lost}, now).outcome,
              AdviceOutcome::Unanswered);
    EXPECT_EQ(detail::adviceAnswer({.outcome = HttpOutcome::NotSent}, now).outcome,
              AdviceOutcome::NotSent);
}

// Answers the engine's questions at once by approving one runner.
class AdvisedPool : public EnginePool
{
public:
    AdvisedPool()
        : EnginePool({.queue = {.name = "queue",
                                .service = "pool",
                                .maxAttempts = 3,
                                .stretch = 2,
                                .needsAdvice = true}})
    { }

    void runAdvised(Duration duration, const std::string &approved)
    {
        const TimePoint end = time().now() + duration;
        while (time().now() < end) {
            run(milliseconds(20));
            if (const auto question = engine().takeAdviceQuestion()) {
                m_questions.push_back(*question);
                AdviceAnswer answer{.outcome = AdviceOutcome::Answered,
                                    .advice = {.validity = seconds(3)}};
                answer.advice.approvals.push_back({approved, "ticket"});
                engine().onAdvice(*question, answer, time().now());
            }
        }
    }

    const std::vector<AdviceQuestion> &questions() const { return m_questions; }

private:
    std::vector<AdviceQuestion> m_questions;
};

TEST(Advice, StepsRunOnlyWhereThePolicyApprovesThem)
{
    AdvisedPool pool;
    const jobs::StepSpec step{.count = 4, .size = {.processors = 1, .memory = 1}};
    jobs::StepSpec second = step;
    second.after = {0};
    pool.submit("a", {.payload = R"({"runMs": 100})", .steps = {step, second}});
    pool.run(seconds(1));
    EXPECT_TRUE(pool.ledger().runsOf("a").empty());
    pool.runAdvised(seconds(3), EnginePool::runnerId(1));
    EXPECT_EQ(pool.phaseOf("a"), jobs::JobPhase::Completed);
    for (const RecordedRun &run : pool.ledger().runsOf("a"))
        EXPECT_EQ(run.runner, EnginePool::runnerId(1));
    // Each step is asked about once, for all runners; the second while the first step runs.
    ASSERT_EQ(pool.questions().size(), 2U);
    EXPECT_EQ(pool.questions()[0].step, "a.0.0");
    EXPECT_EQ(pool.questions()[0].runners.size(), 3U);
    EXPECT_EQ(pool.questions()[1].step, "a.0.1");
}

TEST(Advice, AdviceForAnEndedJobIsDropped)
{
    AdvisedPool pool;
    const std::vector<jobs::StepSpec> steps{{.size = {.processors = 1, .memory = 1}}};
    pool.submit("a", {.steps = steps});
    pool.run(seconds(1));
    const auto question = pool.engine().takeAdviceQuestion();
    ASSERT_TRUE(question);
    pool.cancel("a");
    pool.engine().onAdvice(*question,
                           {.outcome = AdviceOutcome::Answered, .advice = {.validity = seconds(3)}},
                           pool.time().now());
    pool.submit("b", {.steps = steps});
    pool.runAdvised(seconds(2), EnginePool::runnerId(2));
    EXPECT_EQ(pool.phaseOf("b"), jobs::JobPhase::Completed);
}

// Guards against steps without room that ask again whenever their tickets expire, so that small
// jobs, which have room, never get an answer. The large tasks fit no runner beside the lasting
// ones.
TEST(Advice, StepsWithoutRoomLeaveTheAnswersToStepsWithRoom)
{
    QueueConfig lasting{.name = "lasting", .service = "pool", .maxAttempts = 3, .stretch = 2};
    QueueConfig advised{.name = "queue",
                        .service = "pool",
                        .maxAttempts = 3,
                        .stretch = 100,
                        .needsAdvice = true,
                        .adviceBaseMilliseconds = 500,
                        .advicePerRunnerMilliseconds = 50};
    QueueConfig later = advised;
    later.name = "later";
    later.priority = 1;
    EnginePool pool({.runners = 4});
    pool.setQueues({lasting, advised, later});
    jobs::StepSpec serving{.count = 4, .size = {.processors = 3, .memory = 1}, .isLasting = true};
    serving.maxPerRunner = 1;
    pool.submit("s", {.payload = R"({"runMs": 600000})", .steps = {serving}}, "team", "lasting");
    pool.run(seconds(2));
    const jobs::StepSpec large{.size = {.processors = 6}, .estimateMilliseconds = 1'000};
    constexpr int LargeCount = 6; // Their answers take longer than a ticket is valid.
    for (int i = 0; i < LargeCount; ++i)
        pool.submit("large" + std::to_string(i), {.steps = {large}});
    pool.submit("small", {.payload = R"({"runMs": 100})", .steps = {{.size = {.processors = 1}}}},
                "team", "later");
    int questions = 0;
    std::optional<AdviceQuestion> asked;
    TimePoint answerAt{};
    const TimePoint end = pool.time().now() + seconds(20);
    while (pool.time().now() < end) {
        pool.run(milliseconds(20));
        const TimePoint now = pool.time().now();
        if (asked && now >= answerAt) {
            AdviceAnswer answer{.outcome = AdviceOutcome::Answered,
                                .advice = {.validity = seconds(3)}};
            for (const std::string &runner : asked->runners)
                answer.advice.approvals.push_back({runner, "ticket"});
            pool.engine().onAdvice(*std::exchange(asked, std::nullopt), answer, now);
        }
        if (!asked && pool.engine().adviceNeed()) {
            asked = pool.engine().takeAdviceQuestion();
            answerAt = now + asked->serviceTime;
            ++questions;
        }
    }
    EXPECT_EQ(pool.phaseOf("small"), jobs::JobPhase::Completed) << pool.trace();
    // Each large step asks 5 times in 20 s, since its pauses grow.
    EXPECT_LE(questions, LargeCount * 5 + 1);
}

// A ticket may expire while its start waits for the store. The runner would refuse the start.
TEST(Advice, StartWhoseTicketHasExpiredIsNotSent)
{
    AdvisedPool pool;
    pool.submit("a", {.payload = R"({"runMs": 100})", .steps = {{.size = {.processors = 1}}}});
    pool.run(milliseconds(500));
    const auto question = pool.engine().takeAdviceQuestion();
    ASSERT_TRUE(question);
    pool.setStoreDown(true);
    AdviceAnswer answer{.outcome = AdviceOutcome::Answered, .advice = {.validity = seconds(1)}};
    answer.advice.approvals.push_back({EnginePool::runnerId(1), "ticket"});
    pool.engine().onAdvice(*question, answer, pool.time().now());
    pool.run(seconds(2));
    pool.setStoreDown(false);
    pool.run(milliseconds(500));
    EXPECT_TRUE(pool.ledger().runsOf("a").empty()) << pool.trace();
    pool.runAdvised(seconds(2), EnginePool::runnerId(1));
    EXPECT_EQ(pool.phaseOf("a"), jobs::JobPhase::Completed) << pool.trace();
}

// A ticket for a step that is due much later would expire before it can be used.
TEST(Advice, StepIsAskedAboutAheadOnlyShortlyBeforeItIsDue)
{
    AdvisedPool pool;
    jobs::StepSpec first{.size = {.processors = 1}, .estimateMilliseconds = 8'000};
    jobs::StepSpec second{.size = {.processors = 1}, .after = {0}};
    pool.submit("a", {.payload = R"({"runMs": 8000})", .steps = {first, second}});
    pool.runAdvised(seconds(7), EnginePool::runnerId(1));
    EXPECT_EQ(pool.questions().size(), 1U);
}

} // namespace
} // namespace sequoiapier
