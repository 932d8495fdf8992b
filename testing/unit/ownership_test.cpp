#include "testing/support/lendingworld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LendingWorld makeWorld(int lenders, int resources, int borrowers = 0)
{
    return LendingWorld({.lenders = lenders, .borrowers = borrowers, .resources = resources}, 1);
}

// Index of the lender that owns `resource` now; -1 if none does, -2 if several do.
int ownerOf(LendingWorld &world, int lenders, const std::string &resource)
{
    int owner = -1;
    for (int i = 0; i < lenders; ++i) {
        const LenderProcess &process = world.lender(i);
        const bool isOwner = process.actions->isAlive && process.ownership->owns(resource)
            && world.time().now() < process.ownership->ownedUntil();
        if (isOwner)
            owner = owner == -1 ? i : -2;
    }
    return owner;
}

bool hasOwners(LendingWorld &world, int lenders, int resources)
{
    for (int i = 0; i < resources; ++i) {
        if (ownerOf(world, lenders, LendingWorld::resourceName(i)) < 0)
            return false;
    }
    return true;
}

// Runs until every resource has exactly one owner, for at most 30 s. Returns the time that it took.
Duration runUntilOwned(LendingWorld &world, int lenders, int resources)
{
    const TimePoint start = world.time().now();
    while (!hasOwners(world, lenders, resources) && world.time().now() < start + seconds(30))
        world.run(milliseconds(10));
    return world.time().now() - start;
}

TEST(Ownership, EveryResourceHasOneOwnerAndEveryMemberOwnsSome)
{
    LendingWorld world = makeWorld(3, 60);
    EXPECT_LT(runUntilOwned(world, 3, 60), seconds(3));
    world.run(seconds(10));
    EXPECT_TRUE(hasOwners(world, 3, 60));
    for (int i = 0; i < 3; ++i)
        EXPECT_GT(world.lender(i).ownership->ownedCount(), 0u);
}

TEST(Ownership, WritesDoNotGrowWithResources)
{
    constexpr int Resources = 1'000;
    LendingWorld world = makeWorld(3, Resources);
    runUntilOwned(world, 3, Resources);
    world.run(seconds(10));
    const std::uint64_t before = world.table().commitCount();
    world.run(seconds(10));
    EXPECT_LE(world.table().commitCount() - before, 33u);
}

TEST(Ownership, DeadOwnerIsReplacedAfterItsTermAndNotBefore)
{
    LendingWorld world = makeWorld(3, 30);
    runUntilOwned(world, 3, 30);
    world.run(seconds(5));
    const TimePoint until = world.lender(0).ownership->ownedUntil();
    const std::size_t before = world.lender(1).ownership->ownedCount();
    world.killLender(0);
    while (world.time().now() < until) {
        EXPECT_EQ(world.lender(1).ownership->ownedCount(), before);
        world.run(milliseconds(10));
    }
    EXPECT_LT(runUntilOwned(world, 3, 30), seconds(3));
}

// A member that lost its resources may not know it. A later incarnation shows that it has ended.
TEST(Ownership, TellsFromWhomAResourceIsTakenOverAndWhenThatMemberHasEnded)
{
    LendingWorld world = makeWorld(2, 6);
    runUntilOwned(world, 2, 6);
    world.run(seconds(5));
    const MemberId killed = world.lender(0).ownership->self();
    const std::string resource = world.lender(0).acquired.begin()->first;
    const TimePoint killedAt = world.time().now();
    world.killLender(0);
    runUntilOwned(world, 2, 6);
    ASSERT_TRUE(world.lender(1).ownership->owns(resource));
    EXPECT_EQ(world.lender(1).acquired.at(resource).takenFrom, killed);
    const std::vector<ObservedEpoch> observed = world.lender(1).acquired.at(resource).observed;
    ASSERT_EQ(observed.size(), 2U);
    EXPECT_EQ(observed[0].epoch, 1U);
    EXPECT_EQ(observed[1].epoch, 2U);
    EXPECT_LT(observed[0].seenAt, killedAt);
    EXPECT_GT(observed[1].seenAt, killedAt);
    EXPECT_FALSE(world.lender(1).ownership->hasEnded(killed));
    world.restartLender(0);
    world.run(seconds(5));
    EXPECT_TRUE(world.lender(1).ownership->hasEnded(killed));
    EXPECT_FALSE(world.lender(1).ownership->hasEnded(world.lender(0).ownership->self()));
    // The other member has handed the resource over.
    ASSERT_TRUE(world.lender(0).ownership->owns(resource));
    EXPECT_FALSE(world.lender(0).acquired.at(resource).takenFrom);
}

TEST(Ownership, LostAnswersLeaveOneOwner)
{
    for (int lost = 1; lost < 12; ++lost) {
        LendingWorld world = makeWorld(3, 10);
        world.table().loseNextAnswers(lost);
        EXPECT_LT(runUntilOwned(world, 3, 10), seconds(20)) << lost;
        world.killLender(1);
        world.run(seconds(3));
        world.table().loseNextAnswers(lost);
        EXPECT_LT(runUntilOwned(world, 3, 10), seconds(20)) << lost;
    }
}

TEST(Ownership, LongOutageChangesNoOwner)
{
    LendingWorld world = makeWorld(3, 10);
    runUntilOwned(world, 3, 10);
    world.run(seconds(5));
    std::vector<OwnerRow> before(10);
    for (int i = 0; i < 10; ++i)
        before[std::size_t(i)] = *world.lender(0).ownership->ownerOf(LendingWorld::resourceName(i));
    world.table().setOutage(true);
    world.run(std::chrono::minutes(10));
    EXPECT_FALSE(hasOwners(world, 3, 10));
    world.table().setOutage(false);
    EXPECT_LT(runUntilOwned(world, 3, 10), seconds(3));
    for (int i = 0; i < 10; ++i) {
        const OwnerRow *after = world.lender(0).ownership->ownerOf(LendingWorld::resourceName(i));
        EXPECT_EQ(after->epoch, before[std::size_t(i)].epoch);
        EXPECT_EQ(after->owner, before[std::size_t(i)].owner);
    }
}

TEST(Ownership, LeavingHandsOverWithinTheTerm)
{
    LendingWorld world = makeWorld(3, 30);
    runUntilOwned(world, 3, 30);
    world.run(seconds(5));
    world.lender(2).ownership->leave();
    world.run(milliseconds(1'500));
    EXPECT_TRUE(world.lender(2).ownership->hasLeft());
    EXPECT_EQ(world.lender(2).ownership->ownedCount(), 0u);
    EXPECT_LT(runUntilOwned(world, 3, 30), seconds(1));
}

// Guards against members that don't know yet that another one leaves and hand its resources back to
// it. The leaving starts at different times between two scans.
TEST(Ownership, LeavingChangesEachOwnerOnce)
{
    constexpr int Lenders = 3;
    constexpr int Resources = 6;
    for (int offset = 0; offset < 500; offset += 5) {
        LendingWorld world = makeWorld(Lenders, Resources);
        runUntilOwned(world, Lenders, Resources);
        world.run(seconds(5) + milliseconds(offset));
        const auto epochs = [&](int seenBy) {
            std::uint64_t sum = 0;
            for (int i = 0; i < Resources; ++i) {
                const std::string name = LendingWorld::resourceName(i);
                sum += world.lender(seenBy).ownership->ownerOf(name)->epoch;
            }
            return sum;
        };
        const std::uint64_t before = epochs(1);
        const std::size_t owned = world.lender(0).ownership->ownedCount();
        world.lender(0).ownership->leave();
        world.run(seconds(3));
        EXPECT_TRUE(world.lender(0).ownership->hasLeft());
        EXPECT_EQ(epochs(1), before + owned) << offset;
    }
}

// A node that has left still accepts callers' requests for a while and forwards them to the owners,
// so it must keep track of them.
TEST(Ownership, MemberThatHasLeftSeesLaterOwners)
{
    LendingWorld world = makeWorld(3, 30);
    runUntilOwned(world, 3, 30);
    world.lender(2).ownership->leave();
    world.run(seconds(3));
    ASSERT_TRUE(world.lender(2).ownership->hasLeft());
    world.killLender(1);
    world.run(seconds(8));
    for (int i = 0; i < 30; ++i) {
        const OwnerRow *seen = world.lender(2).ownership->ownerOf(LendingWorld::resourceName(i));
        ASSERT_NE(seen, nullptr);
        EXPECT_EQ(seen->owner.name, world.lender(0).ownership->self().name);
    }
    EXPECT_TRUE(world.lender(2).ownership->hasLeft());
}

TEST(Ownership, PausedMemberRejoinsUnderANewIncarnation)
{
    LendingWorld world = makeWorld(3, 30);
    runUntilOwned(world, 3, 30);
    const std::uint64_t incarnation = world.lender(0).ownership->self().incarnation;
    world.setPaused(*world.lender(0).actions, true);
    world.run(seconds(30));
    EXPECT_TRUE(hasOwners(world, 3, 30));
    world.setPaused(*world.lender(0).actions, false);
    world.run(seconds(5));
    EXPECT_TRUE(hasOwners(world, 3, 30));
    EXPECT_GT(world.lender(0).ownership->self().incarnation, incarnation);
    EXPECT_GT(world.lender(0).ownership->ownedCount(), 0u);
}

// Guards against a restart that reuses an incarnation under which the process had rejoined, and so
// owns the pools of that incarnation again at the same epoch.
TEST(Ownership, RestartReusesNoIncarnationOfARejoin)
{
    LendingWorld world = makeWorld(3, 30);
    runUntilOwned(world, 3, 30);
    for (int pause = 0; pause < 2; ++pause) {
        world.setPaused(*world.lender(0).actions, true);
        world.run(seconds(30));
        world.setPaused(*world.lender(0).actions, false);
        world.run(seconds(5));
    }
    const MemberId before = world.lender(0).ownership->self();
    world.restartLender(0);
    EXPECT_LT(runUntilOwned(world, 3, 30), seconds(5));
    EXPECT_GT(world.lender(0).ownership->self(), before);
}

TEST(Ownership, RestartSucceedsItselfWithoutWaitingForTheTerm)
{
    LendingWorld world = makeWorld(1, 5);
    runUntilOwned(world, 1, 5);
    world.run(seconds(5));
    world.restartLender(0);
    EXPECT_LT(runUntilOwned(world, 1, 5), seconds(2)); // the term is 3 s
}

// A member that returns after others took over does not get its resources back. A member that owns
// more than its share hands over the surplus.
TEST(Ownership, StickyOwnersKeepTheirPartWhenAMemberReturns)
{
    constexpr int Lenders = 4;
    constexpr int Resources = 8;
    LendingWorld world(
        {.lenders = Lenders, .borrowers = 0, .resources = Resources, .isSticky = true}, 1);
    runUntilOwned(world, Lenders, Resources);
    world.run(seconds(10));
    const auto owners = [&] {
        std::vector<int> owners;
        owners.reserve(Resources);
        for (int i = 0; i < Resources; ++i)
            owners.push_back(ownerOf(world, Lenders, LendingWorld::resourceName(i)));
        return owners;
    };
    world.killLender(0);
    world.run(seconds(10));
    const std::vector<int> before = owners();
    world.restartLender(0);
    world.run(seconds(15));
    const std::vector<int> after = owners();
    for (int lender = 1; lender < Lenders; ++lender) {
        const auto had = std::count(before.begin(), before.end(), lender);
        int kept = 0;
        for (int i = 0; i < Resources; ++i)
            kept += before[std::size_t(i)] == lender && after[std::size_t(i)] == lender ? 1 : 0;
        EXPECT_GE(kept, std::min<std::ptrdiff_t>(had, Resources / Lenders)) << lender;
    }
    EXPECT_TRUE(hasOwners(world, Lenders, Resources));
}

// Guards against two resources on one small host. With five pools on forty hosts, six of which had
// four times the processor capacity, hashing put two pools on one of the small hosts, whose callers
// then waited for seconds.
TEST(Ownership, LargeMembersOwnOneResourceEachAndTakeThemBack)
{
    constexpr int Lenders = 12;
    constexpr int Large = 6;
    constexpr int Resources = 5;
    LendingWorld world({.lenders = Lenders,
                        .borrowers = 0,
                        .resources = Resources,
                        .isSticky = true,
                        .largeLenders = Large},
                       1);
    runUntilOwned(world, Lenders, Resources);
    world.run(seconds(5));
    const auto mostOwned = [&](int from, int to) {
        std::size_t most = 0;
        for (int i = from; i < to; ++i)
            most = std::max(most, world.lender(i).ownership->ownedCount());
        return most;
    };
    EXPECT_EQ(mostOwned(0, Large), 1u);
    EXPECT_EQ(mostOwned(Large, Lenders), 0u);
    for (int i = 0; i < Large; ++i)
        world.killLender(i);
    world.run(seconds(10));
    EXPECT_TRUE(hasOwners(world, Lenders, Resources));
    EXPECT_EQ(mostOwned(Large, Lenders), 1u);
    for (int i = 0; i < Large; ++i)
        world.restartLender(i);
    world.run(seconds(10));
    EXPECT_TRUE(hasOwners(world, Lenders, Resources));
    EXPECT_EQ(mostOwned(0, Large), 1u);
    EXPECT_EQ(mostOwned(Large, Lenders), 0u);
}

constexpr int ManyLenders = 40;
constexpr int FewResources = 5;

LendingWorld makeLargeWorld()
{
    return LendingWorld({.lenders = ManyLenders,
                         .borrowers = 0,
                         .resources = FewResources,
                         .isSticky = true,
                         .largeLenders = 6},
                        1);
}

// Guards against the write load of forty members that all renew once a second although at most five
// of them own a resource.
TEST(Ownership, MembersThatWouldNotTakeOverSoonRenewSeldom)
{
    LendingWorld world = makeLargeWorld();
    runUntilOwned(world, ManyLenders, FewResources);
    world.run(seconds(20));
    std::vector<std::uint64_t> incarnations; // increase if a member is declared dead
    incarnations.reserve(ManyLenders);
    for (int i = 0; i < ManyLenders; ++i)
        incarnations.push_back(world.lender(i).ownership->self().incarnation);
    const std::uint64_t before = world.table().commitCount();
    world.run(seconds(10));
    // Owners, the successor of each owner and the successors of all owners together renew once a
    // second, the other members once in four seconds. One more write per member allows for renewals
    // at the ends of the measured period.
    constexpr std::uint64_t MaxWatchers = 3 * FewResources;
    for (int i = 0; i < ManyLenders; ++i)
        EXPECT_EQ(world.lender(i).ownership->self().incarnation, incarnations[std::size_t(i)]) << i;
    EXPECT_LE(world.table().commitCount() - before,
              10 * MaxWatchers + 10 * (ManyLenders - MaxWatchers) / 4 + ManyLenders);
    EXPECT_TRUE(hasOwners(world, ManyLenders, FewResources));
}

TEST(Ownership, DeadOwnersAreReplacedAsSoonAmongManyMembers)
{
    LendingWorld world = makeLargeWorld();
    runUntilOwned(world, ManyLenders, FewResources);
    world.run(seconds(10));
    std::set<int> owners;
    for (int i = 0; i < FewResources; ++i)
        owners.insert(ownerOf(world, ManyLenders, LendingWorld::resourceName(i)));
    for (const int owner : owners)
        world.killLender(owner);
    EXPECT_LT(runUntilOwned(world, ManyLenders, FewResources), seconds(6)); // the term is 3 s
}

// Guards against a slow takeover when a third of the members lose the table at once. Changes were
// assigned to lost members that renewed at the longer interval, whose failure was detected only
// after four terms.
TEST(Ownership, LostMembersThatRenewSeldomDelayNoTakeover)
{
    LendingWorld world = makeLargeWorld();
    runUntilOwned(world, ManyLenders, FewResources);
    world.run(seconds(10));
    int killed = 0;
    for (int i = 0; i < ManyLenders; ++i) {
        const Ownership &ownership = *world.lender(i).ownership;
        const bool isLargeIdle = i < 6 && ownership.ownedCount() == 0;
        const bool isKilledNonWatcher = !ownership.isWatching() && killed < ManyLenders / 3;
        if (ownership.ownedCount() == 0 && !isLargeIdle && !isKilledNonWatcher)
            continue;
        world.killLender(i);
        ++killed;
    }
    EXPECT_LT(runUntilOwned(world, ManyLenders, FewResources), seconds(6)); // the term is 3 s
}

// The owners and all their successors fail together and stay down, so that only members that renew
// and scan at the longer interval remain.
TEST(Ownership, MembersThatWatchedSeldomTakeOverInTheEnd)
{
    LendingWorld world = makeLargeWorld();
    runUntilOwned(world, ManyLenders, FewResources);
    world.run(seconds(10));
    for (int i = 0; i < ManyLenders - 3; ++i)
        world.killLender(i);
    EXPECT_LT(runUntilOwned(world, ManyLenders, FewResources), seconds(60));
}

TEST(Ownership, OutagesOfAnyLengthChangeNoOwnerAmongManyMembers)
{
    for (int outage = 500; outage < 12'000; outage += 700) {
        LendingWorld world = makeLargeWorld();
        runUntilOwned(world, ManyLenders, FewResources);
        world.run(seconds(10) + milliseconds(outage / 7));
        const auto epochs = [&] {
            std::vector<std::uint64_t> epochs;
            for (int i = 0; i < FewResources; ++i) {
                const std::string resource = LendingWorld::resourceName(i);
                epochs.push_back(world.lender(0).ownership->ownerOf(resource)->epoch);
            }
            return epochs;
        };
        const std::vector<std::uint64_t> before = epochs();
        world.table().setOutage(true);
        world.run(milliseconds(outage));
        world.table().setOutage(false);
        world.run(seconds(10));
        EXPECT_TRUE(hasOwners(world, ManyLenders, FewResources));
        EXPECT_EQ(epochs(), before) << outage;
    }
}

TEST(Ownership, AllMembersReplacedOneAfterAnother)
{
    LendingWorld world = makeWorld(4, 12, 2);
    runUntilOwned(world, 4, 12);
    for (int i = 0; i < 4; ++i) {
        world.restartLender(i);
        world.run(seconds(15));
        EXPECT_TRUE(hasOwners(world, 4, 12)) << i;
    }
    EXPECT_EQ(world.overload(), "");
    for (int i = 0; i < 12; ++i)
        EXPECT_EQ(world.leased(LendingWorld::resourceName(i)), 12) << i;
}

} // namespace
} // namespace sequoiapier
