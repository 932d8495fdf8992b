// Tests of jobs whose rows the store takes only up to a size, and of rows that it refuses. The row
// of an accepted job grows with its placed tasks, failed runs and checkpoints; a batch that the
// store refuses, sent again and again, would stop the whole pool.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using jobs::JobPhase;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Timeout = seconds(120);
constexpr std::size_t RowBytes = 65'536;
const Resources Roomy{.processors = 2'000, .memory = 2'000};

std::string payload(int runMilliseconds, std::size_t checkpointBytes, int failures = 0)
{
    return R"({"runMs": )" + std::to_string(runMilliseconds) + R"(, "checkpointBytes": )"
        + std::to_string(checkpointBytes) + R"(, "failures": )" + std::to_string(failures) + "}";
}

jobs::JobSpec manyTasks(std::uint32_t count, const std::string &payload)
{
    jobs::JobSpec spec{.payload = payload};
    while (count > 0) {
        const std::uint32_t tasks = std::min(count, jobs::MaxTasksPerStep);
        spec.steps.push_back({.count = tasks, .size = {.processors = 1, .memory = 1}});
        spec.steps.back().hasCheckpoints = true;
        count -= tasks;
    }
    return spec;
}

struct Size
{
    std::uint32_t tasks;
    std::size_t checkpointBytes;
    int runMilliseconds;
    int failures; // failed runs of each task
};

class EngineRows : public testing::TestWithParam<Size>
{
};

// Every task has a checkpoint; the runners have room for all at once.
TEST_P(EngineRows, RowOfAnAcceptedJobNeverOutgrowsTheStore)
{
    const Size &size = GetParam();
    EnginePool pool({.runners = 4, .capacity = Roomy, .maxRowBytes = RowBytes});
    pool.run(seconds(1));
    pool.submit(
        "a",
        manyTasks(size.tasks, payload(size.runMilliseconds, size.checkpointBytes, size.failures)));
    pool.submit("b", manyTasks(1, payload(100, 0)));
    EXPECT_LT(pool.runUntilEnded("b", Timeout), seconds(3));
    pool.replaceOwner(seconds(1));
    pool.runUntilEnded("a", Timeout);
    EXPECT_EQ(pool.phaseOf("a"), JobPhase::Completed);
    EXPECT_GE(pool.ledger().runsOf("a").size(), size.tasks);
    EXPECT_EQ(pool.refusalCount(), 0U);
    EXPECT_LE(pool.largestRow(), RowBytes);
    EXPECT_EQ(pool.violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Sizes, EngineRows,
                         testing::Values(Size{10, 16, 700, 1}, Size{10, 9'000, 700, 1},
                                         Size{1'000, 16, 700, 1}, Size{1'000, 500, 700, 1},
                                         Size{2'400, 40, 6'000, 0}, Size{5'000, 16, 700, 1}),
                         [](const auto &info) {
                             return std::to_string(info.param.tasks) + "TasksOf"
                                 + std::to_string(info.param.checkpointBytes) + "Bytes";
                         });

// Failed runs, checkpoints, gangs, lost runners and owners in any mix; the row is small, so that
// its size binds.
RC_GTEST_PROP(EngineRowsProperty, NoRowIsRefused, ())
{
    constexpr std::size_t SmallRow = 3'000;
    const QueueConfig queue{
        .name = "queue", .service = "pool", .maxAttempts = *rc::gen::inRange(1U, 6U), .stretch = 2};
    EnginePool pool({.runners = 3,
                     .capacity = Roomy,
                     .seed = *rc::gen::arbitrary<std::uint32_t>(),
                     .maxRowBytes = SmallRow,
                     .queue = queue});
    pool.run(seconds(1));
    jobs::JobSpec spec{.payload = payload(*rc::gen::inRange(50, 800), *rc::gen::inRange(0U, 300U),
                                          *rc::gen::inRange(0, 3))};
    const int steps = *rc::gen::inRange(1, 5);
    for (int i = 0; i < steps; ++i) {
        jobs::StepSpec step{.count = *rc::gen::inRange(1U, 60U),
                            .size = {.processors = 1, .memory = 1}};
        step.hasCheckpoints = *rc::gen::arbitrary<bool>();
        step.isGang = *rc::gen::inRange(0, 4) == 0;
        spec.steps.push_back(step);
    }
    const jobs::Job job{.queue = "queue", .team = "team"};
    RC_PRE(jobs::frameBytes(job) + jobs::occurrenceBytes(spec, jobs::termsOf(queue)) <= SmallRow);
    pool.submit("a", spec);
    pool.run(milliseconds(50)); // The job is accepted once it is in the store.
    const int faults = *rc::gen::inRange(0, 6);
    for (int i = 0; i < faults; ++i) {
        pool.run(milliseconds(*rc::gen::inRange(1, 900)));
        if (*rc::gen::arbitrary<bool>())
            pool.replaceOwner(milliseconds(500));
        else
            pool.crash(*rc::gen::inRange(0, 3));
    }
    pool.runUntilEnded("a", Timeout);
    RC_ASSERT(pool.phaseOf("a") >= JobPhase::Completed);
    RC_ASSERT(pool.refusalCount() == 0U);
    RC_ASSERT(pool.violations() == "");
}

class EngineRefusal : public testing::Test
{
protected:
    EngineRefusal() { m_pool.run(seconds(1)); }

    void submitBad(std::uint32_t tasks = 4)
    {
        m_pool.submit("bad", manyTasks(tasks, payload(600, 0)));
    }

    void expectOthersComplete()
    {
        for (int i = 0; i < 5; ++i) {
            const std::string id = "good-" + std::to_string(m_others++);
            m_pool.submit(id, manyTasks(3, payload(100, 0)));
            EXPECT_LT(m_pool.runUntilEnded(id, Timeout), milliseconds(1'500)) << m_pool.trace();
        }
    }

    // Each of the job's tasks has run once.
    void expectCompleted(const std::string &id, std::size_t runs)
    {
        m_pool.runUntilEnded(id, seconds(20));
        EXPECT_EQ(m_pool.phaseOf(id), JobPhase::Completed) << m_pool.trace();
        EXPECT_EQ(m_pool.ledger().runsOf(id).size(), runs);
        EXPECT_EQ(m_pool.violations(), "");
        EXPECT_EQ(m_pool.engine().setApartCount(), 0U);
    }

    EnginePool m_pool{{.runners = 2}};
    int m_others = 0;
};

TEST_F(EngineRefusal, NewJobWhoseRowsAreRefusedHoldsUpNoOtherJob)
{
    m_pool.refuse({"bad"});
    submitBad();
    expectOthersComplete();
    EXPECT_EQ(m_pool.engine().setApartCount(), 1U);
    EXPECT_TRUE(m_pool.ledger().runsOf("bad").empty());
    m_pool.refuse({});
    expectCompleted("bad", 4);
}

TEST_F(EngineRefusal, RunningJobWhoseRowsAreRefusedHoldsUpNoOtherJob)
{
    submitBad();
    m_pool.run(milliseconds(300));
    m_pool.refuse({"bad"});
    expectOthersComplete();
    m_pool.run(seconds(8));
    expectOthersComplete();
    EXPECT_NE(m_pool.phaseOf("bad"), JobPhase::Completed); // The store doesn't know it yet.
    m_pool.refuse({});
    expectCompleted("bad", 4);
}

// The ends of its runs are not acknowledged, so that the runner lists them to the next owner.
TEST_F(EngineRefusal, NextOwnerLearnsTheEndsOfAJobWhoseRowsWereRefused)
{
    submitBad();
    m_pool.run(milliseconds(300));
    m_pool.refuse({"bad"});
    m_pool.run(seconds(2));
    expectOthersComplete();
    m_pool.replaceOwner(milliseconds(500));
    expectOthersComplete();
    m_pool.refuse({});
    expectCompleted("bad", 4);
}

TEST_F(EngineRefusal, JobWhoseRowsAreRefusedIsCancelled)
{
    m_pool.submit("bad", manyTasks(4, payload(60'000, 0)));
    m_pool.run(milliseconds(300));
    m_pool.refuse({"bad"});
    m_pool.run(seconds(2));
    EXPECT_TRUE(m_pool.cancel("bad"));
    m_pool.run(seconds(2));
    EXPECT_EQ(m_pool.phaseOf("bad"), JobPhase::Running);
    m_pool.refuse({});
    m_pool.run(seconds(6));
    EXPECT_EQ(m_pool.phaseOf("bad"), JobPhase::Cancelled);
    EXPECT_EQ(m_pool.violations(), "");
}

// The ends of the job that are not in the store are lost with the runner's incarnation.
TEST_F(EngineRefusal, RunnersRestartWhileRowsAreRefused)
{
    submitBad();
    m_pool.run(milliseconds(300));
    m_pool.refuse({"bad"});
    m_pool.run(seconds(2));
    m_pool.restart(0);
    m_pool.restart(1);
    m_pool.run(milliseconds(500));
    expectOthersComplete();
    m_pool.refuse({});
    expectCompleted("bad", 4);
}

// Each of them alone is refused, and so is each batch with one of them.
TEST_F(EngineRefusal, SeveralJobsWhoseRowsAreRefusedHoldUpNoOtherJob)
{
    m_pool.refuse({"bad-0", "bad-1", "bad-2"});
    for (int i = 0; i < 3; ++i)
        m_pool.submit("bad-" + std::to_string(i), manyTasks(2, payload(100, 0)));
    expectOthersComplete();
    EXPECT_EQ(m_pool.engine().setApartCount(), 3U);
    m_pool.refuse({});
    for (int i = 0; i < 3; ++i)
        m_pool.runUntilEnded("bad-" + std::to_string(i), seconds(20));
    expectCompleted("bad-2", 2);
}

} // namespace
} // namespace sequoiapier
