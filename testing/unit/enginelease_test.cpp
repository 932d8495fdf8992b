// Tests of leases across restarts of runners. A runner that restarts under its identifier has a
// clock that begins anew. A lease that was set by the clock of the life before ends there as late
// as the runner allows, not after the time that the owner meant.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Started = milliseconds(100); // Time in which a waiting task is started.
constexpr Duration LongestOutage = seconds(16); // Covers the longest lease of a runner.

// A pool whose first runner has run for a while and has just reported. The second one is not
// listed, so that tasks are placed on the first.
class EngineLease : public testing::Test
{
protected:
    EngineLease()
    {
        m_pool.setListed(1, false);
        m_pool.run(seconds(20));
        m_pool.runUntilReport(0);
    }

    void submitLastingTask()
    {
        const jobs::StepSpec step{
            .count = 1, .size = {.processors = 1, .memory = 1}, .isLasting = true};
        m_pool.submit("a", {.payload = R"({"lasts": true})", .steps = {step}});
        m_pool.run(Started);
        ASSERT_EQ(m_pool.ledger().runsOf("a").size(), 1U) << m_pool.trace();
    }

    // Cuts the first runner off and makes the second one available.
    void cutFirstRunner()
    {
        m_pool.setReachable(0, false);
        m_pool.setListed(1, true);
    }

    void expectOneRun()
    {
        m_pool.run(seconds(3));
        EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 1U) << m_pool.trace();
        EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
    }

    void expectMovedWithoutOverlap()
    {
        m_pool.run(LongestOutage);
        EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2U) << m_pool.trace();
        EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
    }

    EnginePool m_pool{{.runners = 2, .renewInterval = seconds(1)}};
};

// The owner has not heard of the restart when it starts a task.
TEST_F(EngineLease, TaskStartedAfterAnUnnoticedRestartIsNotDoubledWhenTheRunnerIsCutOff)
{
    m_pool.restart(0);
    submitLastingTask();
    m_pool.runUntilReport(0);
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

// The runner is cut off before it reports its new life. Only the answer to the start tells of it.
TEST_F(EngineLease, AnswerToAStartTellsOfTheRestart)
{
    m_pool.restart(0);
    submitLastingTask();
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

// The answer to the start is lost, and the owner never hears of the new life.
TEST_F(EngineLease, TaskWithoutAnAnswerIsNotDoubledAfterAnUnnoticedRestart)
{
    m_pool.restart(0);
    m_pool.setAnswersLost(true);
    submitLastingTask();
    cutFirstRunner();
    m_pool.setAnswersLost(false);
    expectMovedWithoutOverlap();
}

// The runner has lost the store as well, so that it leaves the list and runs on.
TEST_F(EngineLease, TaskWithoutAnAnswerIsNotDoubledThoughItsRunnerHasLeftTheList)
{
    m_pool.restart(0);
    m_pool.setAnswersLost(true);
    submitLastingTask();
    cutFirstRunner();
    m_pool.setListed(0, false);
    m_pool.setAnswersLost(false);
    expectMovedWithoutOverlap();
}

TEST_F(EngineLease, NextOwnerDoesNotDoubleTheRunOfARunnerThatHasLeftTheList)
{
    m_pool.restart(0);
    submitLastingTask();
    cutFirstRunner();
    m_pool.setListed(0, false);
    m_pool.replaceOwner(milliseconds(200));
    expectMovedWithoutOverlap();
}

// A lease is the runner's, so that the long one of the earlier owner also keeps the runs of the
// next one going.
TEST_F(EngineLease, RunOfTheNextOwnerIsNotDoubledWhileTheLeaseOfTheEarlierOneGoesOn)
{
    m_pool.restart(0);
    const jobs::StepSpec step{.count = 1, .size = {.processors = 1, .memory = 1}};
    m_pool.submit("b", {.payload = R"({"runMs": 10})", .steps = {step}});
    m_pool.runUntilEnded("b", Started);
    m_pool.replaceOwner(milliseconds(200));
    m_pool.runUntilReport(0);
    submitLastingTask();
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

// The next owner finds the placement in the store and can't know how its start ended.
TEST_F(EngineLease, NextOwnerWaitsForTheLongestLeaseOfASilentRunner)
{
    m_pool.restart(0);
    submitLastingTask();
    cutFirstRunner();
    m_pool.replaceOwner(milliseconds(200));
    expectMovedWithoutOverlap();
}

// The next owner reaches the runner once, while the long lease of the earlier owner goes on.
TEST_F(EngineLease, NextOwnerCountsTheLeasesOfTheEarlierOne)
{
    m_pool.restart(0);
    submitLastingTask();
    m_pool.replaceOwner(milliseconds(200));
    m_pool.runUntilReport(0);
    cutFirstRunner();
    expectMovedWithoutOverlap();
}

// A runner that is not listed any more is gone. The next owner waits for the lease that was meant,
// since each owner begins the wait anew.
TEST_F(EngineLease, NextOwnerWaitsNoLongerThanMeantForARunnerThatIsGone)
{
    submitLastingTask();
    cutFirstRunner();
    m_pool.setListed(0, false);
    m_pool.replaceOwner(milliseconds(200));
    m_pool.run(seconds(6));
    EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2U) << m_pool.trace();
    EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
}

// The owner before did not reach the runner either, so that its lease has run out since.
TEST_F(EngineLease, NextOwnerCountsTheTimeForWhichTheOwnerBeforeDidNotReachTheRunner)
{
    submitLastingTask();
    cutFirstRunner();
    m_pool.setListed(0, false);
    m_pool.replaceOwner(milliseconds(200));
    const TimePoint owned = m_pool.time().now();
    m_pool.run(seconds(4));
    m_pool.replaceOwner(milliseconds(200));
    m_pool.engine().setRenewedUntil(EnginePool::runnerId(0), owned);
    m_pool.run(seconds(1));
    EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 1U) << m_pool.trace();
    m_pool.run(seconds(1));
    EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2U) << m_pool.trace();
    EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
}

// The restart is listed before the owner has asked the runner, as its call is still under way.
TEST_F(EngineLease, NothingIsStartedOnAListedLifeThatHasNotReported)
{
    m_pool.restart(0);
    m_pool.setListed(0, true);
    const jobs::StepSpec step{.count = 1, .size = {.processors = 1, .memory = 1}};
    m_pool.submit("b", {.payload = R"({"runMs": 100})", .steps = {step}});
    m_pool.run(Started);
    EXPECT_TRUE(m_pool.ledger().runsOf("b").empty()) << m_pool.trace();
    m_pool.runUntilReport(0);
    m_pool.run(Started);
    EXPECT_EQ(m_pool.ledger().runsOf("b").size(), 1U) << m_pool.trace();
}

// The lease of a task that starts after its job has begun is known to the next owner as well.
TEST(LaterTask, IsBackAfterTheLeaseThatWasMeantWhenItsRunnerIsGone)
{
    EnginePool pool({.runners = 3, .renewInterval = seconds(1)});
    pool.setListed(1, false);
    pool.setListed(2, false);
    pool.run(seconds(20));
    const jobs::StepSpec step{
        .count = 2, .size = {.processors = 8, .memory = 1}, .isLasting = true};
    pool.submit("a", {.payload = R"({"lasts": true})", .steps = {step}});
    pool.run(seconds(1));
    pool.setListed(1, true);
    pool.run(seconds(3));
    ASSERT_EQ(pool.ledger().runsOf("a").size(), 2U) << pool.trace();
    pool.setReachable(1, false);
    pool.setListed(1, false);
    pool.setListed(2, true);
    pool.replaceOwner(milliseconds(200));
    pool.run(seconds(6));
    EXPECT_EQ(pool.ledger().runsOf("a").size(), 3U) << pool.trace();
    EXPECT_EQ(pool.violations(), "") << pool.trace();
}

// Another runner has answered at the address that the runner had, to a call that was sent before
// the runner answered elsewhere.
TEST_F(EngineLease, LateAnswerFromTheFormerAddressEndsNoRun)
{
    const TimePoint sentAt = m_pool.time().now();
    submitLastingTask();
    m_pool.setListed(1, true);
    m_pool.engine().onIncarnationOver(EnginePool::runnerId(0), sentAt);
    expectOneRun();
}

TEST_F(EngineLease, StartThatAnotherRunnerAnsweredEndsNoRunThatWasAnsweredSince)
{
    const TimePoint sentAt = m_pool.time().now();
    submitLastingTask();
    m_pool.setListed(1, true);
    const jobs::StartOrder start{
        .runner = EnginePool::runnerId(0), .task = {.job = "b"}, .run = 1, .sentAt = sentAt};
    m_pool.engine().onStartAnswer(start, jobs::StartOutcome::OtherIncarnation, m_pool.time().now());
    expectOneRun();
}

// The earlier owner renews until just before the first report to the next one, which may not send a
// lease yet (SilentRunners::mayExtend) and then loses the runner again.
TEST_F(EngineLease, LeaseOfTheEarlierOwnerOutlivesTheFirstReportToTheNextOne)
{
    submitLastingTask();
    m_pool.run(seconds(2));
    cutFirstRunner();
    m_pool.replaceOwner(milliseconds(200), milliseconds(1'500));
    m_pool.run(milliseconds(1'300));
    SimulatedRunner &runner = m_pool.runner(0);
    const TimePoint now = m_pool.time().now();
    ASSERT_TRUE(runner.renew(1, 0, runner.clock(now) + 5'000, now));
    const auto report = runner.renew(2, 0, 0, now);
    ASSERT_TRUE(report);
    m_pool.engine().onReport(EnginePool::runnerId(0), *report, now, now);
    m_pool.engine().onMissedCall(EnginePool::runnerId(0), false, now);
    expectMovedWithoutOverlap();
}

// An earlier owner that is cut off from the store renews leases for a while longer. The next owner
// neither reaches the runner nor sees it listed.
class EarlierOwner : public EngineLease
{
protected:
    static constexpr Duration Renewed = milliseconds(1'500);

    void takeOver()
    {
        submitLastingTask();
        cutFirstRunner();
        m_pool.setListed(0, false);
        m_pool.replaceOwner(milliseconds(200), Renewed);
    }

    // Renews the runner's lease as the earlier owner does.
    void renewFor(Duration duration)
    {
        const TimePoint end = m_pool.time().now() + duration;
        while (m_pool.time().now() < end) {
            const TimePoint now = m_pool.time().now();
            m_pool.runner(0).renew(1, 0, m_pool.runner(0).clock(now) + 5'000, now);
            m_pool.run(milliseconds(50));
        }
    }
};

TEST_F(EarlierOwner, RunThatItKeepsAliveIsNotStartedAgain)
{
    takeOver();
    renewFor(Renewed);
    expectMovedWithoutOverlap();
}

// Waiting on would leave the task without a run for nothing.
TEST_F(EarlierOwner, IsWaitedForNoLongerThanUntilItHasEnded)
{
    takeOver();
    renewFor(milliseconds(200));
    m_pool.engine().setEarlierOwnersUntil(m_pool.time().now());
    m_pool.run(milliseconds(5'700)); // A lease, by a slow clock, and its start elsewhere.
    EXPECT_EQ(m_pool.ledger().runsOf("a").size(), 2U) << m_pool.trace();
    EXPECT_EQ(m_pool.violations(), "") << m_pool.trace();
}

// Runners restart unnoticed and are cut off soon after, with or without the store, while long tasks
// are started and owners follow one another.
RC_GTEST_PROP(EngineLeaseProperty, NoTaskRunsTwiceWhileRunnersRestartAndAreCutOff, ())
{
    constexpr int Runners = 3;
    EnginePool pool({.runners = Runners,
                     .seed = *rc::gen::arbitrary<std::uint32_t>(),
                     .renewInterval = milliseconds(*rc::gen::element(50, 1'000))});
    const auto runFor = [&](int shortest, int longest) {
        pool.run(milliseconds(*rc::gen::inRange(shortest, longest)));
    };
    const auto isChosen = [] { return *rc::gen::arbitrary<bool>(); };
    int jobCount = 0;
    const auto name = [](int number) { return "job" + std::to_string(number); };
    const auto submit = [&] {
        const jobs::StepSpec step{.count = 2, .size = {.processors = 1, .memory = 1}};
        const int runMilliseconds = *rc::gen::inRange(5'000, 15'000);
        pool.submit(
            name(jobCount++),
            {.payload = R"({"runMs": )" + std::to_string(runMilliseconds) + "}", .steps = {step}});
        runFor(30, 300); // A submission that was not written is lost.
    };
    const auto replaceOwner = [&] {
        if (isChosen())
            pool.replaceOwner(milliseconds(*rc::gen::inRange(10, 3'000)));
    };
    pool.run(seconds(2));
    const int rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < Runners; ++i) {
            if (isChosen())
                pool.restart(i);
        }
        runFor(0, 60);
        pool.setAnswersLost(*rc::gen::inRange(0, 4) == 0);
        submit();
        pool.setAnswersLost(false);
        replaceOwner();
        runFor(0, 100);
        if (isChosen())
            submit();
        const int spared = *rc::gen::inRange(0, Runners);
        for (int i = 0; i < Runners; ++i) {
            const bool isCut = i != spared && isChosen();
            pool.setReachable(i, !isCut);
            pool.setListed(i, !isCut || isChosen());
        }
        replaceOwner();
        runFor(1, 14'000);
        for (int i = 0; i < Runners; ++i) {
            pool.setReachable(i, true);
            pool.setListed(i, true);
        }
        runFor(1, 1'500);
    }
    pool.run(seconds(60));
    RC_LOG() << pool.trace();
    RC_ASSERT(pool.violations() == "");
    for (int i = 0; i < jobCount; ++i)
        RC_ASSERT((pool.phaseOf(name(i)) == jobs::JobPhase::Completed));
}

} // namespace
} // namespace sequoiapier
