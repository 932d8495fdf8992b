#include "jobs/adviceboard.h"
#include "platform/adviceclient.h"
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using jobs::Advice;
using jobs::AdviceBoard;
using jobs::AdviceQuestion;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AdviceBoardTest : public testing::Test
{
protected:
    AdviceQuestion askFor(const std::string &step, std::vector<std::string> runners)
    {
        m_board.clearRequest();
        m_board.request(step, runners, milliseconds(10));
        return m_board.takeQuestion(m_now).value_or(AdviceQuestion{});
    }

    void approve(const AdviceQuestion &question, const std::vector<std::string> &runners)
    {
        Advice advice{.validity = seconds(3)};
        for (const std::string &runner : runners)
            advice.approvals.push_back({runner, "ticket of " + runner});
        m_board.onAdvice(question, advice, m_now);
    }

    AdviceBoard m_board{{}};
    TimePoint m_now{seconds(100)};
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

TEST_F(AdviceBoardTest, RefusedRunnersCanNotBeApprovedInTheSameIncarnation)
{
    approve(askFor("a.0.0", {"i-1", "i-2"}), {"i-2"});
    EXPECT_FALSE(m_board.canBeApproved("a.0.0", "i-1"));
    m_board.forgetRunner("i-1");
    EXPECT_TRUE(m_board.canBeApproved("a.0.0", "i-1"));
}

TEST_F(AdviceBoardTest, OneQuestionIsOutAtATimeAndAskedAgainAfterAPause)
{
    const AdviceQuestion first = askFor("a.0.0", {"i-1"});
    EXPECT_EQ(first.step, "a.0.0");
    EXPECT_EQ(askFor("b.0.0", {"i-1"}).step, "");
    m_board.onAdvice(first, std::nullopt, m_now);
    EXPECT_EQ(askFor("a.0.0", {"i-1"}).step, "");
    m_now += milliseconds(200);
    EXPECT_EQ(askFor("a.0.0", {"i-1"}).step, "a.0.0");
}

TEST_F(AdviceBoardTest, AnEndedJobIsForgottenWhole)
{
    approve(askFor("a.0.0", {"i-1"}), {"i-1"});
    approve(askFor("ab.0.0", {"i-1"}), {"i-1"});
    m_board.forgetJob("a");
    EXPECT_EQ(m_board.ticket("a.0.0", "i-1", m_now), "");
    EXPECT_NE(m_board.ticket("ab.0.0", "i-1", m_now), "");
}

TEST(Advice, RowsOfOtherFormsAreLeftOut)
{
    const Advice advice
        = parseAdvice(R"({"approved": [["i-1", "t-1"], ["i-2"], 7, [1, 2]], "valid_ms": 3000})");
    ASSERT_EQ(advice.approvals.size(), 1U);
    EXPECT_EQ(advice.approvals[0].runner, "i-1");
    EXPECT_EQ(advice.approvals[0].ticket, "t-1");
    EXPECT_EQ(advice.validity, seconds(3));
    EXPECT_TRUE(parseAdvice("not JSON").approvals.empty());
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
            if (const auto question = engine().takeAdviceQuestion(time().now())) {
                m_questions.push_back(*question);
                Advice advice{.validity = seconds(3)};
                advice.approvals.push_back({approved, "ticket"});
                engine().onAdvice(*question, advice, time().now());
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
    const auto question = pool.engine().takeAdviceQuestion(pool.time().now());
    ASSERT_TRUE(question);
    pool.cancel("a");
    pool.engine().onAdvice(*question, Advice{.validity = seconds(3)}, pool.time().now());
    pool.submit("b", {.steps = steps});
    pool.runAdvised(seconds(2), EnginePool::runnerId(2));
    EXPECT_EQ(pool.phaseOf("b"), jobs::JobPhase::Completed);
}

} // namespace
} // namespace sequoiapier
