#include "sequoiapier/configurationfollower.h"
#include "testing/support/configurationgroup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

// Time within which a committed version must be in force everywhere.
constexpr Duration InForceBound = 5s;

TEST(ConfigurationFollower, VersionIsInForceEverywhereWithinItsBound)
{
    for (const bool pushes : {true, false}) {
        ConfigurationGroup group({.members = 9, .pushes = pushes});
        group.commitKeys({"a", "b"});
        group.run(InForceBound);
        EXPECT_EQ(group.currentCount(), 9U);
        group.commitKeys({"b"});
        group.run(InForceBound);
        EXPECT_EQ(group.currentCount(), 9U) << "pushes " << pushes;
        EXPECT_EQ(group.confirmedCount(), 9U);
        EXPECT_EQ(group.firstViolation(), "");
    }
}

TEST(ConfigurationFollower, AMemberCutFromTableOrPeersStaysCurrent)
{
    for (const bool cutFromTable : {true, false}) {
        for (std::size_t member = 0; member < 9; ++member) {
            ConfigurationGroup group({.members = 9, .pushes = false});
            group.commitKeys({"a", "b"});
            group.run(5s);
            if (cutFromTable)
                group.cutTable(member, true);
            else
                group.setSide(member, 1);
            group.run(10s);
            EXPECT_EQ(group.confirmedCount(), 9U) << member;
            group.commitKeys({"b"});
            group.run(InForceBound);
            EXPECT_EQ(group.currentCount(), 9U) << member;
        }
    }
}

TEST(ConfigurationFollower, AMemberCutFromBothTakesNoWork)
{
    ConfigurationGroup group({.members = 9});
    group.commitKeys({"a", "b"});
    group.run(5s);
    group.cutTable(4, true);
    group.setSide(4, 1);
    group.run(1s);
    EXPECT_TRUE(group.isConfirmed(4));
    group.commitKeys({"b"});
    group.run(5s);
    EXPECT_FALSE(group.isConfirmed(4));
    EXPECT_EQ(group.confirmedCount(), 8U);
    group.setSide(4, 0);
    group.run(5s);
    EXPECT_EQ(group.confirmedCount(), 9U);
    EXPECT_EQ(group.currentCount(), 9U);
    EXPECT_EQ(group.firstViolation(), "");
}

TEST(ConfigurationFollower, APausedMemberConfirmsAfreshBeforeItTakesWork)
{
    ConfigurationGroup group({.members = 9});
    group.commitKeys({"a", "b"});
    group.run(5s);
    group.pause(4);
    group.commitKeys({"b"});
    group.run(30s);
    // The member is cut off from the table and its peers, so that only messages buffered during the
    // pause could confirm its version.
    group.cutTable(4, true);
    group.setSide(4, 1);
    group.resume(4);
    EXPECT_FALSE(group.isConfirmed(4));
    group.run(1s);
    EXPECT_FALSE(group.isConfirmed(4));
    group.cutTable(4, false);
    group.run(5s);
    EXPECT_TRUE(group.isConfirmed(4));
    EXPECT_EQ(group.firstViolation(), "");
}

TEST(ConfigurationFollower, ServesThroughALongOutageWithAMajority)
{
    ConfigurationGroup group({.members = 9, .maxGateways = 9});
    group.commitKeys({"a"});
    group.run(5s);
    group.table().setOutage(true);
    for (int second = 0; second < 600; second += 10) {
        group.run(10s);
        ASSERT_EQ(group.confirmedCount(), 9U) << second;
    }
    for (std::size_t dead = 0; dead < 4; ++dead)
        group.pause(dead);
    group.run(60s);
    EXPECT_TRUE(group.isConfirmed(8)) << "five of nine voters run";
    group.pause(4);
    group.run(10s);
    EXPECT_FALSE(group.isConfirmed(8)) << "four of nine voters run";
}

TEST(ConfigurationFollower, WithoutABoundOnGatewaysAnOutageStopsWork)
{
    ConfigurationGroup group({.members = 9, .maxGateways = 0});
    group.commitKeys({"a"});
    group.run(5s);
    group.table().setOutage(true);
    group.run(6s);
    EXPECT_EQ(group.confirmedCount(), 0U);
}

// Options for a partition in which the majority loses the table, while the committer on the other
// side still reaches it.
ConfigurationGroup::Options partitionOptions(bool answersUnsettled)
{
    return {.members = 9, .maxGateways = 9, .answersUnsettled = answersUnsettled};
}

void runPartition(ConfigurationGroup &group)
{
    group.commitKeys({"a", "b"});
    group.run(5s);
    for (std::size_t member = 0; member < 6; ++member) {
        group.cutTable(member, true);
        group.setSide(member, 1);
    }
    group.run(10s);
    EXPECT_EQ(group.confirmedCount(), 9U);
    group.commitKeys({"b"});
    group.run(30s);
}

TEST(ConfigurationFollower, AnswerWaitsForAMajorityInAPartialCut)
{
    ConfigurationGroup group(partitionOptions(false));
    runPartition(group);
    EXPECT_FALSE(group.isAnswered());
    EXPECT_EQ(group.firstViolation(), "");
}

TEST(ConfigurationFollower, BrokenAnswerWithoutAMajorityIsCaught)
{
    ConfigurationGroup group(partitionOptions(true));
    runPartition(group);
    EXPECT_GT(group.violations(), 0U);
}

TEST(ConfigurationFollower, AMalformedRowIsRejectedWholeByAll)
{
    ConfigurationGroup group({.members = 9});
    group.commitKeys({"a"});
    group.run(5s);
    const std::uint64_t version = group.follower(0).configuration().version;
    const std::string key(ConfigurationKey);
    group.cutTable(8, true);
    group.table().rows().commit({{key, "{\"teams\": [{}]}", version}});
    group.run(10s);
    EXPECT_EQ(group.confirmedCount(), 9U) << "the last valid version stays in force";
    EXPECT_EQ(group.currentCount(), 9U);
    EXPECT_GE(group.rejections(), 3U);
    group.restart(8);
    group.run(5s);
    EXPECT_TRUE(group.isConfirmed(8)) << "receives the last valid version from a peer";
}

TEST(ConfigurationFollower, RestartWithoutFreshConfirmationTakesNoVersion)
{
    ConfigurationGroup group({.members = 3, .maxGateways = 3});
    group.commitKeys({"a"});
    group.run(5s);
    group.table().setOutage(true);
    group.run(30s);
    group.restart(2);
    group.run(30s);
    EXPECT_EQ(group.follower(2).configuration().version, 0U);
    EXPECT_EQ(group.confirmedCount(), 2U);
}

TEST(ConfigurationFollower, NoticeRefusesAKeyEarlyAndLapses)
{
    ConfigurationFollower follower({.name = "g"}, {});
    const TimePoint now{1h};
    follower.onNotice({.digest = "a", .remaining = 1h}, now);
    EXPECT_TRUE(follower.isDenied("a", now));
    EXPECT_FALSE(follower.isDenied("b", now));
    const ConfigurationReport report = follower.answerPoll({}, now + 1s);
    ASSERT_EQ(report.notices.size(), 1U);
    EXPECT_EQ(report.notices.front().remaining, Duration(9s));
    EXPECT_FALSE(follower.isDenied("a", now + 10s)) << "the notice expires after maxDuration";
}

// Applies one random fault, commits a random change in one call of three, then runs for up to 4 s.
void applyRandomStep(ConfigurationGroup &group, std::mt19937 &random, std::set<std::string> &keys)
{
    const std::size_t member = random() % group.size();
    switch (random() % 12) {
    case 0:
    case 1:
        group.cutTable(member, true);
        break;
    case 2:
    case 3:
        group.cutTable(member, false);
        break;
    case 4:
        group.setSide(member, 1);
        break;
    case 5:
    case 6:
        group.setSide(member, 0);
        break;
    case 7:
        group.pause(member);
        break;
    case 8:
        group.resume(member);
        break;
    case 9:
        group.restart(member);
        break;
    case 10:
        group.table().setOutage(random() % 2 == 0);
        break;
    default:
        group.setCommitterSide(int(random() % 2));
        break;
    }
    if (random() % 3 == 0) {
        const std::string key(1, char('a' + random() % 4));
        if (keys.erase(key) == 0)
            keys.insert(key);
        group.commitKeys(keys);
    }
    group.run(std::chrono::milliseconds(random() % 4'000));
}

// Runs 60 random steps; returns the first violation, or an empty string.
std::string runRandomFaults(ConfigurationGroup::Options options)
{
    options.members = 5;
    options.lossRate = 0.1;
    options.repeatRate = 0.1;
    options.maxDelay = 900ms;
    std::mt19937 random(options.seed);
    options.maxGateways = random() % 2 == 0 ? 5 : 0;
    ConfigurationGroup group(options);
    std::set<std::string> keys{"a", "b", "c"};
    group.commitKeys(keys);
    for (int i = 0; i < 60; ++i)
        applyRandomStep(group, random, keys);
    return group.firstViolation();
}

RC_GTEST_PROP(ConfigurationFollower, HoldsUnderAnyFaults, ())
{
    RC_ASSERT(runRandomFaults({.seed = *rc::gen::arbitrary<unsigned>()}) == "");
}

// Number of seeds, out of 50, whose run violates an invariant.
std::size_t countViolatingRuns(ConfigurationGroup::Options options)
{
    std::size_t failures = 0;
    for (options.seed = 1; options.seed <= 50; ++options.seed)
        failures += runRandomFaults(options).empty() ? 0 : 1;
    return failures;
}

TEST(ConfigurationFollower, BrokenAcceptingALowerVersionIsCaught)
{
    EXPECT_GT(countViolatingRuns({.mayReplace = [](std::uint64_t, std::uint64_t) { return true; }}),
              0U);
}

TEST(ConfigurationFollower, BrokenStalenessIsCaught)
{
    ConfigurationGroup::Options options;
    options.follower.confirmation.staleness = 12s;
    EXPECT_GT(countViolatingRuns(options), 0U);
}

} // namespace
} // namespace sequoiapier
