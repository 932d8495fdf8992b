// Tests of the terms under which a job was accepted. An operator may change the job's queue, or
// remove it and add it again, while the job runs; the job keeps its attempts and its place in the
// order, under every owner of the pool.
#include "jobs/specrow.h"
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration RunTime = milliseconds(500);
constexpr const char *FailingTwice = R"({"runMs": 500, "failures": 2})";

const QueueConfig Quotes{.name = "quotes",
                         .service = "pool",
                         .priority = 2,
                         .maxAttempts = 3,
                         .stretch = 2,
                         .objectiveMilliseconds = 600};
const QueueConfig Others{.name = "others", .service = "pool", .priority = 1, .stretch = 2};

jobs::JobSpec oneTask(const std::string &payload, double processors = 1)
{
    const jobs::StepSpec step{.size = {.processors = processors, .memory = 1}};
    return {.payload = payload, .steps = {step}};
}

class EngineTerms : public testing::Test
{
protected:
    EngineTerms()
        : m_pool({.runners = 1, .queue = Quotes})
    {
        m_pool.run(seconds(1));
    }

    void expectCompletedAfterThreeRuns(const std::string &id)
    {
        m_pool.run(seconds(10));
        EXPECT_EQ(m_pool.phaseOf(id), jobs::JobPhase::Completed) << m_pool.trace();
        EXPECT_EQ(m_pool.ledger().runsOf(id).size(), 3U) << m_pool.trace();
        EXPECT_EQ(m_pool.violations(), "");
    }

    // Leaves room for nothing else until the returned job is cancelled.
    std::string fillPool()
    {
        m_pool.submit("full", oneTask(R"({"runMs": 60000})", 8));
        m_pool.run(milliseconds(200));
        return "full";
    }

    // Returns the first task of which a run began after the pool was full.
    std::string firstStartAfter(const std::string &full)
    {
        m_pool.cancel(full);
        m_pool.run(seconds(3));
        return m_pool.ledger().runs().at(1).task.job;
    }

    EnginePool m_pool;
};

// The queue is removed while the first run goes on and stays away.
TEST_F(EngineTerms, FailedRunOfAJobWhoseQueueWasRemovedLeavesItsOtherAttempts)
{
    m_pool.submit("a", oneTask(FailingTwice));
    m_pool.run(RunTime / 2);
    m_pool.setQueues({});
    expectCompletedAfterThreeRuns("a");
}

TEST_F(EngineTerms, JobKeepsItsAttemptsAfterItsQueueHasComeBackWithFewer)
{
    m_pool.submit("a", oneTask(FailingTwice));
    m_pool.run(RunTime / 2);
    m_pool.setQueues({});
    m_pool.run(RunTime / 4);
    QueueConfig fewer = Quotes;
    fewer.maxAttempts = 1;
    m_pool.setQueues({fewer});
    expectCompletedAfterThreeRuns("a");
}

// The next owner has never seen a configuration with the queue.
TEST_F(EngineTerms, NextOwnerKeepsTheAttemptsOfAJobWhoseQueueWasRemoved)
{
    m_pool.submit("a", oneTask(FailingTwice));
    m_pool.run(RunTime / 2);
    m_pool.setQueues({});
    m_pool.replaceOwner(milliseconds(200));
    expectCompletedAfterThreeRuns("a");
}

TEST_F(EngineTerms, AttemptsEndAsAcceptedAfterTheQueueWasRemoved)
{
    m_pool.submit("a", oneTask(R"({"runMs": 500, "fail": true})"));
    m_pool.run(RunTime / 2);
    m_pool.setQueues({});
    m_pool.run(seconds(10));
    EXPECT_EQ(m_pool.phaseOf("a"), jobs::JobPhase::Failed) << m_pool.trace();
    EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 3U) << m_pool.trace();
}

TEST_F(EngineTerms, JobWhoseQueueWasRemovedDoesNotOvertakeMoreUrgentOnes)
{
    m_pool.setQueues({Quotes, Others});
    const std::string full = fillPool();
    m_pool.submit("a", oneTask(R"({"runMs": 500})", 8));
    m_pool.submit("b", oneTask(R"({"runMs": 500})", 8), "team", "others");
    m_pool.run(milliseconds(100));
    m_pool.setQueues({Others});
    EXPECT_EQ(firstStartAfter(full), "b") << m_pool.trace();
}

TEST_F(EngineTerms, NewerPriorityOfAQueueLeavesAcceptedJobsInTheirOrder)
{
    m_pool.setQueues({Quotes, Others});
    const std::string full = fillPool();
    m_pool.submit("a", oneTask(R"({"runMs": 500})", 8));
    m_pool.submit("b", oneTask(R"({"runMs": 500})", 8), "team", "others");
    m_pool.run(milliseconds(100));
    QueueConfig urgent = Quotes;
    urgent.priority = 0;
    m_pool.setQueues({urgent, Others});
    m_pool.replaceOwner(milliseconds(200));
    EXPECT_EQ(firstStartAfter(full), "b") << m_pool.trace();
}

// What exceeded its team's share when it came still waits behind other work under the next owner.
TEST(EngineTermsOfShares, NextOwnerKeepsJobsBeyondTheirShareBehindOthers)
{
    EnginePool pool(
        {.runners = 1, .teams = {{.name = "a", .share = 1}, {.name = "b", .share = 1}}});
    pool.run(seconds(1));
    pool.submit("full", oneTask(R"({"runMs": 60000})", 8), "a");
    pool.run(milliseconds(200));
    for (int i = 0; i < 40; ++i)
        pool.submit("a" + std::to_string(i), oneTask(R"({"runMs": 500})", 8), "a");
    pool.submit("within", oneTask(R"({"runMs": 500})", 8), "b");
    pool.run(milliseconds(200));
    ASSERT_NE(pool.trace().find("exceeds the share"), std::string::npos);
    pool.replaceOwner(milliseconds(200));
    pool.run(milliseconds(200));
    pool.cancel("full");
    pool.run(seconds(60));
    ASSERT_EQ(pool.phaseOf("within"), jobs::JobPhase::Completed);
    const std::vector<RecordedRun> &runs = pool.ledger().runs();
    ASSERT_EQ(runs.size(), 42U) << pool.trace();
    EXPECT_NE(runs.back().task.job, "within") << pool.trace();
}

// Nothing may start on a runner that the queue's policy has not approved.
TEST(EngineTermsOfAdvice, RemovedQueueStillNeedsAdvice)
{
    QueueConfig advised = Quotes;
    advised.needsAdvice = true;
    EnginePool pool({.queue = advised});
    pool.submit("a", oneTask(R"({"runMs": 100})"));
    pool.run(milliseconds(200));
    pool.setQueues({});
    pool.replaceOwner(milliseconds(200));
    pool.run(seconds(1));
    EXPECT_TRUE(pool.ledger().runsOf("a").empty()) << pool.trace();
    const auto question = pool.engine().takeAdviceQuestion();
    ASSERT_TRUE(question);
    jobs::AdviceAnswer answer{.outcome = jobs::AdviceOutcome::Answered,
                              .advice = {.validity = seconds(3)}};
    answer.advice.approvals.push_back({EnginePool::runnerId(1), "ticket"});
    pool.engine().onAdvice(*question, answer, pool.time().now());
    pool.run(seconds(1));
    EXPECT_EQ(pool.phaseOf("a"), jobs::JobPhase::Completed) << pool.trace();
}

RC_GTEST_PROP(SpecRow, IsReadBackAsItWasWritten, ())
{
    const jobs::JobSpec spec = oneTask(*rc::gen::string<std::string>());
    jobs::JobTerms terms{.priority = *rc::gen::arbitrary<std::uint32_t>(),
                         .maxAttempts = *rc::gen::inRange<std::uint32_t>(1, 1'000)};
    terms.stretch = *rc::gen::inRange(0, 10'000) / 100.0;
    terms.objectiveMilliseconds = *rc::gen::arbitrary<std::int64_t>();
    terms.isBeyondShare = *rc::gen::arbitrary<bool>();
    terms.advice = {*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<std::int64_t>(),
                    *rc::gen::arbitrary<std::int64_t>()};
    const std::string bytes = jobs::encodeSpecRow(spec, terms);
    RC_ASSERT(bytes.size() <= jobs::encodeJobSpec(spec).size() + jobs::SpecRowFrameBytes);
    const Result<jobs::SpecRow> row = jobs::parseSpecRow(bytes);
    RC_ASSERT(bool(row));
    RC_ASSERT(row.value().spec == spec);
    RC_ASSERT(row.value().terms == terms);
}

RC_GTEST_PROP(SpecRow, AnyBytesAreReadOrRefused, ())
{
    const auto bytes = *rc::gen::string<std::string>();
    const Result<jobs::SpecRow> row = jobs::parseSpecRow(bytes);
    const bool isSane = !row || row.value().spec.steps.size() <= bytes.size();
    RC_ASSERT(isSane);
}

TEST(SpecRow, RowOfAnEarlierReleaseHasNoTerms)
{
    const Result<jobs::SpecRow> row = jobs::parseSpecRow(jobs::encodeJobSpec(oneTask("x")));
    ASSERT_TRUE(row);
    EXPECT_EQ(row.value().spec, oneTask("x"));
    EXPECT_FALSE(row.value().terms);
}

} // namespace
} // namespace sequoiapier
