// Property tests of the whole lending protocol with the real classes. Whatever faults occur, no
// resource is used beyond its capacity, and the same check detects the violation when one of the
// protocol's checks is disabled.
#include "testing/support/lendingworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Action {
    Demand,
    Faults,
    Heal,
    PauseLender,
    PauseBorrower,
    Resume,
    RestartLender,
    RestartBorrower,
    Outage,
    CutOffLender,
    CutOffBorrower,
    CutLink,
    Misroute,
    LoseAnswers,
    Wait,
    Count
};

struct Step
{
    Action action = Action::Wait;
    int target = 0;
    int amount = 0;
    int milliseconds = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{" << int(step.action) << "," << step.target << "," << step.amount << ","
                  << step.milliseconds << "}";
}

constexpr int Lenders = 3;
constexpr int Borrowers = 4;

void resumeAll(LendingWorld &world)
{
    for (int i = 0; i < Lenders; ++i)
        world.setPaused(*world.lender(i).actions, false);
    for (int i = 0; i < Borrowers; ++i)
        world.setPaused(*world.borrower(i).actions, false);
}

void healAll(LendingWorld &world)
{
    world.network() = {};
    world.table().setOutage(false);
    world.table().loseNextAnswers(0);
    for (int i = 0; i < Lenders; ++i)
        world.table().reconnect(world.lender(i).name);
    for (int i = 0; i < Borrowers; ++i)
        world.table().reconnect(world.borrower(i).self.name);
}

void apply(LendingWorld &world, const Step &step)
{
    switch (step.action) {
    case Action::Demand:
        world.setDemand(step.target % Borrowers, 0, step.amount);
        break;
    case Action::Faults:
        world.network().dropRate = step.amount / 40.0;
        world.network().repeatRate = step.target / 12.0;
        world.network().maxDelay = milliseconds(1 + step.amount * 100);
        break;
    case Action::Heal:
        healAll(world);
        break;
    case Action::PauseLender:
        world.setPaused(*world.lender(step.target % Lenders).actions, true);
        break;
    case Action::PauseBorrower:
        world.setPaused(*world.borrower(step.target % Borrowers).actions, true);
        break;
    case Action::Resume:
        resumeAll(world);
        break;
    case Action::RestartLender:
        world.restartLender(step.target % Lenders);
        break;
    case Action::RestartBorrower:
        world.restartBorrower(step.target % Borrowers);
        break;
    case Action::Outage:
        world.table().setOutage(true);
        break;
    case Action::CutOffLender:
        world.table().cutOff(world.lender(step.target % Lenders).name);
        break;
    case Action::CutOffBorrower:
        world.table().cutOff(world.borrower(step.target % Borrowers).self.name);
        break;
    case Action::CutLink:
        world.network().cutLinks.emplace(world.borrower(step.target % Borrowers).self.name,
                                         world.lender(step.amount % Lenders).name);
        break;
    case Action::Misroute:
        world.network().misrouteRate = step.target / 12.0;
        break;
    case Action::LoseAnswers:
        world.table().loseNextAnswers(1 + step.target);
        break;
    case Action::Wait:
    case Action::Count:
        break;
    }
    world.run(milliseconds(step.milliseconds));
}

LendingWorld::Options worldOptions()
{
    LendingWorld::Options options{.lenders = Lenders, .borrowers = Borrowers};
    options.outageTerm = seconds(20);
    options.maxWork = seconds(2);
    return options;
}

rc::Gen<std::vector<Step>> genSteps()
{
    const auto step = rc::gen::build<Step>(
        rc::gen::set(&Step::action,
                     rc::gen::map(rc::gen::inRange(0, int(Action::Count)),
                                  [](int number) { return Action(number); })),
        rc::gen::set(&Step::target, rc::gen::inRange(0, 12)),
        rc::gen::set(&Step::amount, rc::gen::inRange(0, 25)),
        rc::gen::set(&Step::milliseconds,
                     rc::gen::weightedOneOf<int>({{4, rc::gen::inRange(0, 500)},
                                                  {3, rc::gen::inRange(500, 5'000)},
                                                  {1, rc::gen::inRange(5'000, 30'000)}})));
    return rc::gen::container<std::vector<Step>>(60, step);
}

std::string runSteps(const LendingWorld::Options &options, const std::vector<Step> &steps,
                     std::uint64_t seed)
{
    LendingWorld world(options, seed);
    for (int i = 0; i < Borrowers; ++i)
        world.setDemand(i, 0, 8);
    world.run(seconds(2));
    for (const Step &step : steps) {
        apply(world, step);
        if (!world.overload().empty())
            break;
    }
    return world.overload();
}

RC_GTEST_PROP(Lending, NeverExceedsTheCapacity, ())
{
    const auto steps = *genSteps();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string overload = runSteps(worldOptions(), steps, seed);
    RC_ASSERT(overload == "");
}

// Runs random steps until use exceeds the capacity; false if it never does.
bool isOverloadFound(const LendingWorld::Options &options)
{
    constexpr int MaxRuns = 300;
    const auto gen = genSteps();
    for (int run = 0; run < MaxRuns; ++run) {
        const auto steps = gen(rc::Random(std::uint64_t(run)), 100).value();
        if (!runSteps(options, steps, std::uint64_t(run)).empty())
            return true;
    }
    return false;
}

TEST(BrokenLending, IgnoringTheEpochIsCaught)
{
    LendingWorld::Options options = worldOptions();
    options.borrowerFaults.ignoreEpoch = true;
    options.lenderFaults.ignoreEpoch = true;
    EXPECT_TRUE(isOverloadFound(options));
}

TEST(BrokenLending, IgnoringTheLeaseIsCaught)
{
    LendingWorld::Options options = worldOptions();
    options.borrowerFaults.ignoreLease = true;
    EXPECT_TRUE(isOverloadFound(options));
}

TEST(BrokenLending, LendingBeforeTheOldTermsEndIsCaught)
{
    LendingWorld::Options options = worldOptions();
    options.lenderFaults.forgetPriorLoans = true;
    EXPECT_TRUE(isOverloadFound(options));
}

TEST(BrokenLending, ReclaimingBeforeTheReturnIsShownIsCaught)
{
    LendingWorld::Options options = worldOptions();
    options.lenderFaults.reclaimUnreported = true;
    EXPECT_TRUE(isOverloadFound(options));
}

// Cuts the owner off from the table, and one borrower off from the owner just before the ownership
// ends. That borrower takes its loan to the new owner, while the others stay with the old one.
std::string runSplitOwnership(LendingWorld::Options options)
{
    options.term = 2 * options.ownershipTerm;
    LendingWorld world(options, 1);
    for (int i = 0; i < Borrowers; ++i)
        world.setDemand(i, 0, 8);
    world.run(seconds(4));
    int owner = 0;
    while (!world.lender(owner).ownership->owns(LendingWorld::resourceName(0)))
        ++owner;
    world.table().cutOff(world.lender(owner).name);
    for (int i = 1; i < Borrowers; ++i)
        world.table().cutOff(world.borrower(i).self.name);
    world.run(milliseconds(900));
    world.network().cutLinks.emplace(world.borrower(0).self.name, world.lender(owner).name);
    world.run(seconds(15));
    return world.overload();
}

TEST(Lending, SplitOwnershipKeepsTheCapacity)
{
    EXPECT_EQ(runSplitOwnership(worldOptions()), "");
}

TEST(BrokenLending, ReclaimingByTimeWithoutOwnershipIsCaught)
{
    LendingWorld::Options options = worldOptions();
    options.lenderFaults.reclaimWhenNotOwner = true;
    EXPECT_NE(runSplitOwnership(options), "");
}

} // namespace
} // namespace sequoiapier
