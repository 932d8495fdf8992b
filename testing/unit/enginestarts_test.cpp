// Tests of the checks that are repeated when a start is sent, some time after its task was placed.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

#include <set>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Timeout = seconds(10);
constexpr Duration Settled = milliseconds(100); // Time in which all runners have answered once.

jobs::JobSpec job(std::uint32_t count)
{
    const jobs::StepSpec step{.count = count, .size = {.processors = 1, .memory = 1}};
    return {.payload = R"({"runMs": 100})", .steps = {step}};
}

std::set<std::string> runnersOf(const EnginePool &pool, std::string_view id)
{
    std::set<std::string> runners;
    for (const RecordedRun &run : pool.ledger().runsOf(id))
        runners.insert(run.runner);
    return runners;
}

void expectCompletedBy(EnginePool &pool, const std::string &runner)
{
    pool.runUntilEnded("a", Timeout);
    EXPECT_EQ(pool.phaseOf("a"), jobs::JobPhase::Completed);
    EXPECT_EQ(runnersOf(pool, "a"), std::set<std::string>{runner}) << pool.trace();
    EXPECT_EQ(pool.violations(), "");
}

// The store does not answer from the placement until long after the runner's notice.
TEST(EngineStarts, TaskPlacedBeforeItsRunnerDrainedIsNotStartedThereLater)
{
    EnginePool pool({.runners = 2});
    pool.run(Settled);
    pool.setStoreDown(true);
    pool.submit("a", job(4));
    pool.run(Settled);
    pool.setDraining(0, true);
    pool.run(seconds(4));
    pool.setStoreDown(false);
    expectCompletedBy(pool, "i-1");
}

// The live list can't be read while the store accepts writes.
TEST(EngineStarts, NothingIsStartedByAListThatIsNotReadAnyMore)
{
    EnginePool pool({.runners = 2});
    pool.run(Settled);
    pool.setListReadable(false);
    pool.setDraining(0, true);
    pool.run(seconds(4));
    pool.submit("a", job(4));
    pool.run(seconds(1));
    pool.setListReadable(true);
    expectCompletedBy(pool, "i-1");
}

// Answers of an overloaded runner are lost, so that further starts wait until the calls time out.
TEST(EngineStarts, StartsThatWaitBehindOthersAreNotSentOnceTheRunnerDrains)
{
    EnginePool pool({.runners = 2});
    pool.run(Settled);
    pool.setReachable(0, false);
    pool.submit("a", job(8));
    pool.run(milliseconds(50));
    pool.setDraining(0, true);
    pool.setReachable(0, true);
    expectCompletedBy(pool, "i-1");
}

// An earlier entry of the runner is written after the entry with its notice.
TEST(EngineStarts, RunnerThatHasGivenNoticeIsNotReadyAgainInTheSameLife)
{
    EnginePool pool({.runners = 2});
    pool.run(Settled);
    pool.setDraining(0, true);
    pool.setDraining(0, false);
    pool.submit("a", job(4));
    pool.runUntilEnded("a", Timeout);
    EXPECT_EQ(runnersOf(pool, "a"), std::set<std::string>{"i-1"}) << pool.trace();

    pool.crash(0); // Another incarnation answers under the same identifier.
    pool.run(seconds(2));
    pool.submit("b", job(12));
    pool.runUntilEnded("b", Timeout);
    EXPECT_EQ(runnersOf(pool, "b"), (std::set<std::string>{"i-0", "i-1"})) << pool.trace();
}

// One member can't be started where it was placed, so that no member may work alone.
TEST(EngineStarts, GangIsPlacedAnewWhenOneOfItsRunnersDrains)
{
    EnginePool pool({.runners = 3});
    pool.run(Settled);
    pool.setStoreDown(true);
    jobs::JobSpec gang = job(2);
    gang.steps[0].isGang = true;
    gang.steps[0].size.processors = 5; // A runner has 8.
    pool.submit("a", gang);
    pool.run(Settled);
    pool.setDraining(0, true);
    pool.run(seconds(1));
    pool.setStoreDown(false);
    pool.runUntilEnded("a", Timeout);
    EXPECT_EQ(pool.phaseOf("a"), jobs::JobPhase::Completed);
    for (const RecordedRun &run : pool.ledger().runsOf("a")) {
        EXPECT_NE(run.runner, "i-0");
        EXPECT_NE(run.outcome, "alone") << pool.trace();
    }
    EXPECT_EQ(pool.violations(), "");
}

} // namespace
} // namespace sequoiapier
