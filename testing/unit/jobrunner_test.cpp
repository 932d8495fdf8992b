#include "controller/hostrow.h"
#include "controller/jobcancellation.h"
#include "controller/jobrunner.h"
#include "testing/support/faketable.h"
#include "testing/support/faketasks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr int Ceiling = 4;
constexpr const char *Pool = "batch";

// Two controllers that both tick one pool of four hosts.
struct JobFleet
{
    VirtualTime time;
    FakeTable table{time};
    FakeTasks tasks{time, {"h0", "h1", "h2", "h3"}, {.processors = 8, .memory = 8}};
    Configuration configuration{.teams = {{.name = "a"}, {.name = "b", .ceiling = Ceiling}}};
    std::vector<std::unique_ptr<JobRunner>> runners;
    std::vector<std::unique_ptr<JobRunner>>
        dead; // Killed runners, kept because late answers still reach them.
    JobSubmission::Hooks changes{
        .table = table.hooks("api"),
        .now = [this] { return time.now(); },
        .writeId = [this] { return "w" + std::to_string(++writes); },
        .later = [this](std::function<void()> step) { runLater(std::move(step)); }};
    std::vector<std::pair<std::string, bool>> jobs; // Task name and isRerunnable.
    int writes = 0;
    int laterSteps = 0;
    std::size_t maxLiveJobs;

    explicit JobFleet(std::size_t maxLiveJobs = 1'000)
        : maxLiveJobs(maxLiveJobs)
    {
        for (int i = 0; i < 4; ++i) {
            const HostRow row{
                .host = "h" + std::to_string(i), .rack = "r", .zone = "z", .pool = Pool};
            table.rows().commit({{hostKey(row.host), toJson(row), 0}});
        }
        for (int i = 0; i < 2; ++i)
            runners.push_back(makeRunner(i));
    }

    void runLater(std::function<void()> step)
    {
        ++laterSteps;
        time.at(time.now(), std::move(step));
    }

    std::unique_ptr<JobRunner> makeRunner(int index)
    {
        const std::string process = "c" + std::to_string(index);
        return std::make_unique<JobRunner>(
            table.hooks(process), tasks.hooks(),
            JobRunner::Hooks{
                .now = [this] { return time.now(); },
                .configuration = [this]() -> const Configuration & { return configuration; },
                .changed = [](const JobRow &) {},
                .ticked = [](std::string_view, bool) {},
                .later = [this](std::function<void()> step) { runLater(std::move(step)); }},
            JobRunner::Options{.process = process,
                               .incarnation = std::uint64_t(++writes),
                               .maxLiveJobs = maxLiveJobs});
    }

    JobRow submit(const std::string &team, bool isRerunnable, bool isUrgent = false)
    {
        const JobRow row{.id = "j" + std::to_string(jobs.size()),
                         .team = team,
                         .pool = Pool,
                         .size = {2, 2, 0},
                         .isUrgent = isUrgent,
                         .isRerunnable = isRerunnable,
                         .hasCheckpoints = isRerunnable};
        jobs.emplace_back(taskName(row), isRerunnable);
        JobSubmission::run(changes, {row}, false, [](const auto &) {});
        return row;
    }

    ResultCode codeOfRepeat(const JobRow &row)
    {
        ResultCode code = ResultCode::InternalError;
        JobSubmission::run(changes, {row}, false,
                           [&](const auto &outcomes) { code = outcomes.front().code; });
        time.runUntil(time.now() + 100ms);
        return code;
    }

    void cancel(std::size_t index)
    {
        if (jobs.empty())
            return;
        const std::string &name = jobs[index % jobs.size()].first;
        const std::string team = name.substr(6, 1);
        JobCancellation::run(changes, team, Pool, {name.substr(8)}, [](const auto &) {});
    }

    void kill(int index)
    {
        dead.push_back(std::move(runners[index]));
        runners[index] = makeRunner(index);
    }

    void step(int operation)
    {
        const int argument = operation / 16;
        const std::string worker = "h" + std::to_string(argument % 4);
        switch (operation % 16) {
        case 0:
        case 1:
            submit(argument % 2 == 0 ? "a" : "b", argument % 3 == 0, argument % 5 == 0);
            break;
        case 2:
            cancel(std::size_t(argument));
            break;
        case 3:
            kill(argument % 2);
            break;
        case 4:
            table.loseNextAnswers(1 + argument % 3);
            break;
        case 5:
            table.setOutage(argument % 3 == 0);
            break;
        case 6:
            tasks.setDead(worker, argument % 8 < 4);
            break;
        case 7:
            tasks.setFailing(worker, argument % 8 < 4);
            break;
        case 8:
            tasks.setDelay(argument % 3 == 0 ? Duration(6s) : Duration(1ms));
            break;
        default:
            runners[argument % 2]->tick(Pool);
            time.runUntil(time.now() + std::chrono::milliseconds(argument * 4));
        }
    }

    void recover()
    {
        table.setOutage(false);
        table.loseNextAnswers(0);
        tasks.setDelay(1ms);
        for (const char *worker : {"h0", "h1", "h2", "h3"}) {
            tasks.setDead(worker, false);
            tasks.setFailing(worker, false);
        }
        for (int i = 0; i < 400; ++i) {
            runners[i % 2]->tick(Pool);
            time.runUntil(time.now() + 1s);
        }
    }

    std::string broken() const
    {
        for (const auto &[job, isRerunnable] : jobs) {
            if (!isRerunnable && tasks.runCount(job) > 1)
                return job + " ran twice";
        }
        return tasks.violation("b", Ceiling);
    }

    JobRow ended(const std::string &team, const std::string &id)
    {
        const auto rows = table.rows().read(endedJobKey(team, id));
        return rows.empty() ? JobRow() : parseJobRow(rows.front().value).value();
    }
};

RC_GTEST_PROP(JobRunner, NeverRunsAJobTwiceNorPassesACeiling, ())
{
    JobFleet fleet;
    const auto script = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1 << 10));
    for (const int operation : script) {
        fleet.step(operation);
        RC_ASSERT(fleet.broken() == "");
    }
    fleet.recover();
    RC_ASSERT(fleet.broken() == "");
    RC_ASSERT(fleet.table.rows().scan(liveJobPrefix(Pool)).empty());
    for (const TableRow &row : fleet.table.rows().scan(std::string(TeamCountPrefix)))
        RC_ASSERT(row.value == "0");
}

TEST(JobRunner, StartThatArrivesAfterTheJobWasPlacedAgainDoesNotRunTwice)
{
    JobFleet fleet;
    fleet.tasks.setDelay(6s); // Delays the start command.
    fleet.submit("a", false);
    fleet.time.runUntil(fleet.time.now() + 100ms);
    fleet.runners[0]->tick(Pool);
    fleet.time.runUntil(fleet.time.now() + 1s);
    fleet.tasks.setDelay(1ms);
    fleet.recover();
    EXPECT_EQ(fleet.tasks.runCount("batch/a/j0"), 1);
    EXPECT_EQ(fleet.ended("a", "j0").state, JobState::Done);
}

// Parsing ten thousand rows at once on the first read blocked the event loop for 0.2 s.
TEST(JobRunner, FirstReadOfManyJobsIsSpreadOverLoopIterations)
{
    constexpr std::size_t Count = 2 * JobTick::MaxParsedRows + 1;
    JobFleet fleet(2 * Count);
    for (std::size_t i = 0; i < Count; ++i)
        fleet.submit("a", false);
    fleet.time.runUntil(fleet.time.now() + 100ms);
    fleet.runners[0]->tick(Pool);
    fleet.time.runUntil(fleet.time.now() + 100ms);
    EXPECT_EQ(fleet.laterSteps, 2);
    EXPECT_EQ(fleet.tasks.runCount("batch/a/j0"), 1);
    fleet.laterSteps = 0;
    fleet.runners[0]->tick(Pool);
    fleet.time.runUntil(fleet.time.now() + 100ms);
    EXPECT_EQ(fleet.laterSteps, 1) << "only rows that the first tick changed are parsed again";
}

TEST(JobRunner, FullPoolTakesNoMoreJobsUntilSomeHaveEnded)
{
    JobFleet fleet(10);
    const JobRow first = fleet.submit("a", false);
    for (int i = 0; i < 9; ++i)
        fleet.submit("a", false);
    fleet.time.runUntil(fleet.time.now() + 100ms);
    fleet.runners[0]->tick(Pool);
    fleet.time.runUntil(fleet.time.now() + 1s);
    JobRow more = first;
    more.id = "more";
    EXPECT_EQ(fleet.codeOfRepeat(more), ResultCode::CapacityExceeded);
    EXPECT_EQ(fleet.codeOfRepeat(first), ResultCode::Committed) << "taken before";
    fleet.recover();
    EXPECT_EQ(fleet.codeOfRepeat(more), ResultCode::Committed);
}

TEST(JobRunner, RunningJobLeavesADrainingHostOnlyIfItMayRunAgain)
{
    JobFleet fleet;
    fleet.tasks.setRunTime(60s);
    fleet.submit("a", true);
    fleet.submit("a", false);
    for (int i = 0; i < 3; ++i) {
        fleet.runners[0]->tick(Pool);
        fleet.time.runUntil(fleet.time.now() + 1s);
    }
    const auto rows = fleet.table.rows().scan(std::string(HostKeyPrefix));
    for (const TableRow &row : rows) {
        HostRow host = parseHostRow(row.value).value();
        host.state = HostState::Draining;
        host.purpose = HostPurpose::Maintenance;
        fleet.table.rows().commit({{row.key, toJson(host), row.version}});
    }
    for (int i = 0; i < 10; ++i) {
        fleet.runners[0]->tick(Pool);
        fleet.time.runUntil(fleet.time.now() + 1s);
    }
    std::vector<JobState> states;
    for (const TableRow &row : fleet.table.rows().scan(liveJobPrefix(Pool)))
        states.push_back(parseJobRow(row.value).value().state);
    EXPECT_EQ(states, (std::vector<JobState>{JobState::Waiting, JobState::Running}));
}

} // namespace
} // namespace sequoiapier
