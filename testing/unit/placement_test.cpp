#include "controller/hostload.h"
#include "controller/placement.h"
#include "controller/usagelearner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace sequoiapier {
namespace {

std::vector<PlacementHost> hostsOf(std::size_t count)
{
    std::vector<PlacementHost> hosts;
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back({.name = "h" + std::to_string(i), .capacity = {64, 256, 0}});
    return hosts;
}

TEST(Placement, TellsWhyEachJobWaits)
{
    std::vector<PlacementHost> hosts = hostsOf(1);
    const std::vector<PlacementTeam> teams{{.name = "a", .ceiling = 1}, {.name = "b"}};
    const std::vector<PlacementJob> jobs{{"large", 0, 9, {65, 1, 0}},
                                         {"accelerated", 1, 9, {1, 1, 1}},
                                         {"first", 0, 1, {8, 8, 0}},
                                         {"second", 0, 0, {8, 8, 0}},
                                         {"tight", 1, 0, {55, 8, 0}}};
    const PlacementPlan plan
        = planPlacement({.hosts = hosts, .jobs = jobs, .teams = teams}, {.fillLimit = 0.9});
    std::map<std::string, ResultCode> codes;
    for (const WaitingJob &job : plan.waiting)
        codes[jobs[job.job].id] = job.code;
    const std::map<std::string, ResultCode> expected{{"large", ResultCode::JobNeverFits},
                                                     {"accelerated", ResultCode::JobNeverFits},
                                                     {"second", ResultCode::TeamCeilingReached},
                                                     {"tight", ResultCode::JobWaiting}};
    EXPECT_EQ(codes, expected);
    ASSERT_EQ(plan.assignments.size(), 1U);
}

TEST(Placement, KeepsHostsIdleWhileWarmOnesHaveRoom)
{
    std::vector<PlacementHost> hosts = hostsOf(10);
    hosts[7].isWarm = true;
    hosts[7].load = {8, 32, 0};
    const std::vector<PlacementTeam> teams{{.name = "a"}};
    const std::vector<PlacementJob> jobs(12, {"j", 0, 0, {4, 16, 0}});
    EXPECT_EQ(planPlacement({hosts, jobs, teams}, {}).warmHosts, 1U);
    hosts[7].isOpen = false;
    for (const Assignment &assignment : planPlacement({hosts, jobs, teams}, {}).assignments)
        EXPECT_NE(assignment.host, 7U);
}

TEST(Placement, SpreadsJobsOfAClassThatIsNotLearnedYet)
{
    std::vector<PlacementHost> hosts = hostsOf(3);
    hosts[0].isWarm = true;
    hosts[0].unlearned = 1;
    const std::vector<PlacementTeam> teams{{.name = "a"}};
    const std::vector<PlacementJob> jobs(6, {"j", 0, 0, {1, 1, 0}, false});
    const PlacementPlan plan = planPlacement({hosts, jobs, teams}, {.maxUnlearned = 2});
    std::vector<int> counts(3);
    for (const Assignment &assignment : plan.assignments)
        ++counts[assignment.host];
    EXPECT_EQ(counts, (std::vector{1, 2, 2}));
    EXPECT_EQ(plan.waiting.size(), 1U);
}

// The shares of a full pool are within 5% of their weights when teams are bound by different
// resources (issue 5).
TEST(Placement, SharesAFullPoolByDominantResource)
{
    const std::vector<PlacementHost> hosts = hostsOf(50);
    const std::vector<PlacementTeam> teams{
        {.name = "a", .share = 2}, {.name = "b", .share = 1}, {.name = "c", .share = 1}};
    std::vector<PlacementJob> jobs;
    jobs.reserve(12'000);
    for (int i = 0; i < 12'000; ++i)
        jobs.push_back(
            {"j", std::size_t(i % 3), 0, i % 3 == 1 ? Resources{0.5, 4, 0} : Resources{1, 1, 0}});
    const PlacementPlan plan = planPlacement({hosts, jobs, teams}, {});
    std::vector<Resources> used(3);
    Resources total;
    for (const PlacementHost &host : hosts)
        total += host.capacity;
    for (const Assignment &assignment : plan.assignments)
        used[jobs[assignment.job].team] += jobs[assignment.job].estimate;
    const double unit = dominantShare(used[2], total);
    EXPECT_GT(unit, 0);
    EXPECT_FALSE(plan.waiting.empty());
    EXPECT_NEAR(dominantShare(used[1], total) / unit, 1, 0.05);
    EXPECT_NEAR(dominantShare(used[0], total) / unit, 2, 0.1);
}

RC_GTEST_PROP(Placement, NeverOverfillsAndLeavesNoJobThatFits, ())
{
    std::vector<PlacementHost> hosts = hostsOf(*rc::gen::inRange<std::size_t>(1, 6));
    for (PlacementHost &host : hosts) {
        host.load = {double(*rc::gen::inRange(0, 50)), double(*rc::gen::inRange(0, 200)), 0};
        host.isWarm = *rc::gen::arbitrary<bool>();
        host.isOpen = *rc::gen::inRange(0, 4) > 0;
    }
    const std::vector<PlacementTeam> teams{{.name = "a"}, {.name = "b", .ceiling = 3}};
    std::vector<PlacementJob> jobs;
    for (const int bits : *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 1 << 16))) {
        jobs.push_back({"j",
                        std::size_t(bits & 1),
                        std::uint32_t((bits >> 1) & 3),
                        {double((bits >> 3) & 31), double((bits >> 8) & 127), 0}});
    }
    const PlacementPlan plan = planPlacement({hosts, jobs, teams}, {});
    RC_ASSERT(plan.assignments.size() + plan.waiting.size() == jobs.size());
    std::size_t limitedTeamJobs = 0;
    for (const Assignment &assignment : plan.assignments) {
        RC_ASSERT(hosts[assignment.host].isOpen);
        hosts[assignment.host].load += jobs[assignment.job].estimate;
        limitedTeamJobs += jobs[assignment.job].team;
    }
    RC_ASSERT(limitedTeamJobs <= 3U);
    for (const Assignment &assignment : plan.assignments)
        RC_ASSERT(hosts[assignment.host].load.fitsInto(hosts[assignment.host].capacity * 0.9));
    for (const WaitingJob &waiting : plan.waiting) {
        for (const PlacementHost &host : hosts) {
            Resources load = host.load;
            load += jobs[waiting.job].estimate;
            RC_ASSERT(waiting.code != ResultCode::JobWaiting || !host.isOpen
                      || !load.fitsInto(host.capacity * 0.9));
        }
    }
}

TEST(UsageLearner, LearnsSizesThatAreWrongByEight)
{
    UsageLearner learner({.maxClasses = 2});
    const Resources declared{4, 16, 1};
    for (int i = 0; i < 10; ++i) {
        learner.observe("low", declared, {32, 128, 1});
        learner.observe("high", declared, {0.5, 2, 1});
    }
    EXPECT_NEAR(learner.estimate("low", declared).processors, 32, 1.6);
    EXPECT_NEAR(learner.estimate("high", declared).memory, 2, 0.1);
    EXPECT_EQ(learner.estimate("high", declared).accelerators, 1);
    learner.observe("third", declared, declared);
    EXPECT_EQ(learner.classCount(), 2U);
    EXPECT_FALSE(learner.isLearned("low")) << "the class observed longest ago goes first";
}

TEST(HostLoad, ReservesForJobsThatReportsDoNotShowYet)
{
    using namespace std::chrono_literals;
    const TimePoint start{1h};
    std::vector<RunningJob> jobs{{.estimate = {8, 32, 0}, .startedAt = start}};
    jobs.front().reported = Resources{1, 1, 0};
    EXPECT_EQ(hostLoad(jobs, start + 5s, 10s), (Resources{8, 32, 0}));
    EXPECT_EQ(hostLoad(jobs, start + 20s, 10s), (Resources{4, 16, 0}));
    jobs.front().reported = Resources{20, 64, 0};
    EXPECT_EQ(hostLoad(jobs, start + 20s, 10s), (Resources{20, 64, 0}));
}

} // namespace
} // namespace sequoiapier
