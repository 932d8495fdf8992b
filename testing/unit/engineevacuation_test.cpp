// Tests that moving lasting tasks away from runners respects the availability bound of their step
// when the answers of runners are lost.
#include "jobs/engine.h"
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiapier::jobs {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t TaskCount = 3;
constexpr Duration Evacuated = std::chrono::seconds(5);

// Three lasting tasks, one on each runner, of which one may be unavailable.
class EngineEvacuation : public testing::Test
{
protected:
    EngineEvacuation()
        : engine({}, {.wallMilliseconds = [] { return std::int64_t(1'000); }})
    {
        std::vector<RunnerEntry> runners;
        for (std::uint32_t i = 0; i < TaskCount; ++i) {
            runners.push_back(
                {.id = runnerId(i), .capacity = {.processors = 4, .memory = 4}, .listedAt = now});
        }
        engine.setRunners(runners);
        reportAll();
        StepSpec step{.count = TaskCount, .size = {.processors = 3, .memory = 1}};
        step.isLasting = true;
        step.maxPerRunner = 1;
        step.maxUnavailable = 1;
        engine.submit({.id = "job", .queue = "queue", .spec = {.steps = {step}}}, now);
        tick();
        for (const StartOrder &start : engine.takeStarts(now))
            engine.onStartAnswer(start, StartOutcome::Started, now);
        now += milliseconds(100);
        reportAll();
    }

    static std::string runnerId(std::uint32_t index) { return "runner-" + std::to_string(index); }

    void tick()
    {
        engine.plan(now);
        engine.onCommitted(engine.takeBatch());
    }

    // Each runner reports that its task is at work.
    void reportAll()
    {
        for (std::uint32_t i = 0; i < TaskCount; ++i) {
            RunnerReport report{.bornAt = 1};
            for (const auto &[key, run] : engine.runners().at(runnerId(i)).runs)
                report.running.push_back({.task = key.first, .run = key.second, .percent = 100});
            engine.onReport(runnerId(i), report, now, now);
        }
    }

    TimePoint now{milliseconds(100'000)};
    Engine engine;
};

// The answer to the first stop is lost, and the stop is carried out seconds later. Meanwhile the
// runner reports the task at work.
TEST_F(EngineEvacuation, StopThatMayStillBeCarriedOutCountsAgainstTheBound)
{
    engine.evacuate(runnerId(1), now + milliseconds(5'000));
    tick();
    const std::vector<StopOrder> stops = engine.takeStops(now);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runner, runnerId(1));
    engine.onStopAnswer(stops[0], false, now);
    now += milliseconds(100);
    reportAll();
    engine.evacuate(runnerId(0), now + milliseconds(5'000));
    tick();
    now += milliseconds(1'000);
    for (const StopOrder &stop : engine.takeStops(now))
        EXPECT_EQ(stop.runner, runnerId(1));
}

// The start of a task is carried out seconds after it was given up and its stop was sent, neither
// of them answered. Another task of the step is away by then.
TEST_F(EngineEvacuation, TaskThatIsAtWorkAfterAllIsNotEndedWhileAnotherOneIsAway)
{
    const TaskName late{.job = "job", .index = 1};
    const auto report = [&](std::uint32_t runner, std::vector<RunReport> running) {
        engine.onReport(runnerId(runner), {.bornAt = 1, .running = std::move(running)}, now, now);
    };
    engine.onReport(
        runnerId(1),
        {.bornAt = 1, .ends = {{.number = 1, .task = late, .run = 1, .kind = EndKind::Failed}}},
        now, now);
    tick();
    const std::vector<StartOrder> starts = engine.takeStarts(now);
    ASSERT_EQ(starts.size(), 1U);
    const std::uint64_t run = starts[0].run;
    now += milliseconds(500);
    engine.onStartAnswer(starts[0], StartOutcome::Unanswered, now);
    report(1, {});
    const std::vector<StopOrder> stops = engine.takeStops(now);
    ASSERT_EQ(stops.size(), 1U);
    now += milliseconds(500);
    engine.onStopAnswer(stops[0], false, now);
    report(1, {{.task = late, .run = run, .percent = 100}});
    report(0, {{.task = {.job = "job", .index = 0}, .run = 1, .percent = 50}});
    now += milliseconds(500);
    EXPECT_TRUE(engine.takeStops(now).empty());
}

// A stop that the former owner has sent is being carried out while its runner reports to the next
// owner, which sees the task at work and is asked to empty another runner.
TEST(Evacuation, StopOfTheFormerOwnerThatIsBeingCarriedOutCountsAgainstTheBound)
{
    EnginePool pool({.runners = int(TaskCount), .capacity = {.processors = 4, .memory = 4}});
    pool.run(milliseconds(500));
    StepSpec step{.count = TaskCount, .size = {.processors = 3, .memory = 1}};
    step.isLasting = true;
    step.maxUnavailable = 1;
    pool.submit("job", {.payload = R"({"lasts": true})", .steps = {step}});
    pool.run(milliseconds(1'000));
    ASSERT_EQ(pool.ledger().runsOf("job").size(), TaskCount) << pool.trace();
    const auto isEnded = [&](int runner) {
        const std::vector<RecordedRun> runs = pool.ledger().runsOf("job");
        return std::any_of(runs.begin(), runs.end(), [&](const RecordedRun &run) {
            return run.runner == EnginePool::runnerId(runner) && run.end;
        });
    };
    const auto evacuate = [&](int runner) {
        pool.engine().evacuate(EnginePool::runnerId(runner), pool.time().now() + Evacuated);
    };
    evacuate(0);
    pool.run(milliseconds(20));
    pool.replaceOwner(milliseconds(1));
    evacuate(1);
    while (!isEnded(0))
        pool.run(milliseconds(1));
    pool.run(SimulatedRunner::StopTime);
    EXPECT_FALSE(isEnded(1)) << pool.trace();
    EXPECT_EQ(pool.violations(), "");
}

} // namespace
} // namespace sequoiapier::jobs
