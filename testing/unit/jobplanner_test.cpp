#include "controller/jobplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sequoiapier {
namespace {

struct Pool
{
    std::vector<LiveJob> jobs;
    std::vector<JobHost> hosts{{.name = "h0", .capacity = {10, 10, 0}},
                               {.name = "h1", .capacity = {10, 10, 0}}};
    std::vector<JobTeam> teams{{.name = "a"}, {.name = "b"}};
    std::map<std::string, TeamCount> counts;
    TaskReports reports;
    std::set<std::string, std::less<>> quarantined;
    UsageLearner learner{{}};
    bool isComplete = true;
    JobTickOptions options{.placement = {.maxUnlearned = 100}};

    JobRow &add(const std::string &team, Resources size)
    {
        jobs.push_back(
            {.row
             = {.id = "j" + std::to_string(jobs.size()), .team = team, .pool = "p", .size = size},
             .version = 1});
        return jobs.back().row;
    }

    void addRunning(const std::string &team, const std::string &host, TaskState state)
    {
        JobRow &row = add(team, {1, 1, 0});
        row.state = JobState::Running;
        row.worker = host;
        row.attempt = 1;
        reports[taskName(row)] = {.id = {taskName(row), 1}, .worker = host, .state = state};
        ++counts[team].placed;
    }

    JobTickPlan plan() const
    {
        return planJobTick({.jobs = jobs,
                            .hosts = hosts,
                            .isPoolComplete = isComplete,
                            .teams = teams,
                            .teamCounts = counts,
                            .reports = reports,
                            .quarantined = quarantined,
                            .learner = learner,
                            .now = TimePoint(std::chrono::hours(1)),
                            .startedAt = [](const TaskId &) { return TimePoint(); }},
                           options);
    }

    static std::size_t countOf(const JobTickPlan &plan, JobState state)
    {
        return std::size_t(
            std::count_if(plan.changes.begin(), plan.changes.end(),
                          [&](const JobChange &change) { return change.after.state == state; }));
    }
};

TEST(JobPlanner, EndFreesAUnitOfTheCeilingForAStartInTheSameTick)
{
    Pool pool;
    pool.teams[0].ceiling = 2;
    pool.addRunning("a", "h0", TaskState::Running);
    pool.addRunning("a", "h0", TaskState::Done);
    pool.add("a", {1, 1, 0});
    pool.add("a", {1, 1, 0});
    const JobTickPlan plan = pool.plan();
    EXPECT_EQ(Pool::countOf(plan, JobState::Done), 1U);
    EXPECT_EQ(Pool::countOf(plan, JobState::Placed), 1U);
    EXPECT_EQ(plan.teamCounts.at("a"), 2U);
    EXPECT_EQ(plan.changes.back().after.code, ResultCode::TeamCeilingReached);
}

TEST(JobPlanner, UrgentJobOfABusyTeamGoesBeforeAllOthers)
{
    Pool pool;
    for (int i = 0; i < 8; ++i)
        pool.addRunning("a", "h0", TaskState::Running);
    for (int i = 0; i < 9; ++i)
        pool.addRunning("b", "h1", TaskState::Running);
    pool.add("b", {1, 1, 0});
    pool.add("a", {1, 1, 0}).isUrgent = true; // The ninth job of a takes the last room.
    const JobTickPlan plan = pool.plan();
    ASSERT_EQ(Pool::countOf(plan, JobState::Placed), 1U);
    EXPECT_EQ(plan.changes.front().after.team, "a");
}

TEST(JobPlanner, UrgentJobWithoutRoomStopsTheFewestRunsThatMayRunAgain)
{
    Pool pool;
    for (int i = 0; i < 18; ++i) {
        pool.addRunning("a", i < 9 ? "h0" : "h1", TaskState::Running);
        pool.jobs.back().row.isRerunnable = i >= 6 && i < 12;
        pool.jobs.back().row.priority = std::uint32_t(20 - i);
    }
    pool.add("b", {2, 2, 0}).isUrgent = true;
    pool.add("a", {1, 1, 0}); // Gets none of the reserved room.
    const JobTickPlan plan = pool.plan();
    EXPECT_EQ(Pool::countOf(plan, JobState::Placed), 0U);
    EXPECT_EQ(plan.stops, (std::vector<std::size_t>{8, 7})) << "lowest priority on h0 first";
    pool.jobs[8].row.state = JobState::Stopping; // Cancelled between the two plans.
    EXPECT_EQ(pool.plan().stops, (std::vector<std::size_t>{8, 7}));
    for (LiveJob &job : pool.jobs)
        job.row.isRerunnable = false;
    EXPECT_EQ(pool.plan().stops, std::vector<std::size_t>{8}) << "only the cancelled one";
}

TEST(JobPlanner, OtherChangesDoNotTakeAwayStarts)
{
    Pool pool;
    pool.options.maxChanges = 2;
    pool.options.maxStarts = 3;
    for (int i = 0; i < 6; ++i)
        pool.addRunning("a", "h0", TaskState::Done);
    for (int i = 0; i < 4; ++i)
        pool.add("b", {1, 1, 0});
    const JobTickPlan plan = pool.plan();
    EXPECT_EQ(Pool::countOf(plan, JobState::Done), 2U);
    EXPECT_EQ(Pool::countOf(plan, JobState::Placed), 3U);
    EXPECT_TRUE(plan.hasMore);
}

TEST(JobPlanner, JobIsImpossibleOnlyIfNoHostOfTheWholePoolCouldRunIt)
{
    Pool pool;
    pool.hosts[1].isOpen = false;
    pool.hosts[1].capacity = {100, 100, 0};
    pool.add("a", {50, 1, 0}); // Fits on the closed host.
    pool.add("a", {500, 1, 0});
    const JobTickPlan plan = pool.plan();
    EXPECT_EQ(Pool::countOf(plan, JobState::Impossible), 1U);
    for (const JobChange &change : plan.changes)
        EXPECT_EQ(change.after.state == JobState::Impossible, change.job == 1) << change.job;
    pool.isComplete = false; // A host of unknown capacity may fit it.
    EXPECT_EQ(Pool::countOf(pool.plan(), JobState::Impossible), 0U);
}

TEST(JobPlanner, EstimateAboveEveryHostDoesNotMakeADeclaredSizeImpossible)
{
    Pool pool;
    for (int i = 0; i < 10; ++i)
        pool.learner.observe("a/", {1, 1, 0}, {8, 8, 0});
    pool.add("a", {5, 5, 0});
    EXPECT_EQ(Pool::countOf(pool.plan(), JobState::Placed), 1U);
}

TEST(JobPlanner, QuarantinedHostGetsNothingNew)
{
    Pool pool;
    pool.quarantined = {"h0"};
    for (int i = 0; i < 20; ++i)
        pool.add("a", {1, 1, 0});
    const JobTickPlan plan = pool.plan();
    EXPECT_EQ(Pool::countOf(plan, JobState::Placed), 9U);
    for (const JobChange &change : plan.changes)
        EXPECT_NE(change.after.worker, "h0");
}

TEST(JobPlanner, FullPoolIsSharedByDominantResource)
{
    Pool pool;
    pool.hosts = {{.name = "h0", .capacity = {100, 100, 0}}};
    pool.teams[0].share = 2;
    for (int i = 0; i < 200; ++i) {
        pool.add("a", {1, 0.2, 0}); // Bound by processors.
        pool.add("b", {0.2, 1, 0}); // Bound by memory.
    }
    const JobTickPlan plan = pool.plan();
    double a = 0;
    double b = 0;
    for (const JobChange &change : plan.changes) {
        if (change.after.state == JobState::Placed)
            (change.after.team == "a" ? a : b) += 1;
    }
    EXPECT_NEAR(a / b, 2, 0.1) << a << " " << b;
}

TEST(JobStep, JobThatFailsOnThreeWorkersIsGivenUpWithTheReason)
{
    JobRow row{.id = "j", .team = "a", .pool = "p", .isRerunnable = true, .attempt = 4};
    row.state = JobState::Running;
    row.worker = "h2";
    row.failures = 3;
    row.failedOn = {"h0", "h1"}; // One of them failed it twice.
    const TaskReport report{.id = {taskName(row), 4}, .worker = "h2", .state = TaskState::Failed};
    const JobRow next = nextJobStep(row, report, {}).value();
    EXPECT_EQ(next.state, JobState::Failed);
    EXPECT_EQ(next.code, ResultCode::JobQuarantined);
    EXPECT_EQ(next.detail, "failed on 3 workers, the last h2");
    row.failedOn = {"h2"};
    EXPECT_EQ(nextJobStep(row, report, {})->state, JobState::Waiting) << "one bad worker";
}

// For every report, an attempt ends before the next one starts, and only a rerunnable job or one
// that never ran goes back to waiting.
RC_GTEST_PROP(JobStep, RaisesNoAttemptAndRunsAgainOnlyWhatMay, ())
{
    JobRow row{.id = "j", .team = "a", .pool = "p", .worker = "h0", .attempt = 3};
    row.state = *rc::gen::element(JobState::Placed, JobState::Running, JobState::Stopping);
    row.isRerunnable = *rc::gen::arbitrary<bool>();
    row.failures = *rc::gen::inRange(0U, 12U);
    const TaskReport report{.id = {taskName(row), 3},
                            .worker = "h0",
                            .state = *rc::gen::element(TaskState::Running, TaskState::Done,
                                                       TaskState::Failed, TaskState::Stopped,
                                                       TaskState::NeverRan, TaskState::Lost)};
    const std::optional<JobRow> next = nextJobStep(row, report, {});
    if (report.state == TaskState::Running) {
        RC_ASSERT(!next || next->state == JobState::Running);
        return;
    }
    RC_ASSERT(next.has_value());
    RC_ASSERT(next->attempt == 3U);
    RC_ASSERT(!next->isPlaced());
    RC_ASSERT(parseJobRow(toJson(*next)).value() == *next);
    if (next->state == JobState::Waiting) {
        RC_ASSERT(row.state != JobState::Stopping);
        RC_ASSERT(row.isRerunnable || report.state == TaskState::NeverRan);
    }
    if (report.state == TaskState::Done)
        RC_ASSERT(next->state == JobState::Done);
}

} // namespace
} // namespace sequoiapier
