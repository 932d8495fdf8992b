// Tests of the addresses of runners that the store keeps for later owners of the pool.
#include "node/runneraddresses.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

const Endpoint First{"10.1.0.5", 8340};
const Endpoint Second{"10.1.0.6", 8340};

RunnerAddresses::Runners runnersAt(const std::map<std::string, Endpoint> &endpoints)
{
    RunnerAddresses::Runners runners;
    for (const auto &[name, endpoint] : endpoints)
        runners[name].entry = {.id = name, .endpoint = endpoint};
    return runners;
}

std::vector<jobs::StartOrder> startsOn(const std::vector<std::string> &names)
{
    std::vector<jobs::StartOrder> starts;
    starts.reserve(names.size());
    for (const std::string &name : names)
        starts.push_back({.runner = name});
    return starts;
}

// Changes as text, such as "i-1=10.1.0.5:8340" or "i-1=" for a removal.
std::vector<std::string> taken(RunnerAddresses &addresses, std::size_t room)
{
    std::vector<std::string> texts;
    for (const RunnerAddresses::Change &change : addresses.takeChanges(room)) {
        texts.push_back(change.runner + "="
                        + (change.endpoint ? toString(*change.endpoint) : std::string()));
    }
    return texts;
}

using Texts = std::vector<std::string>;

TEST(RunnerAddresses, AddressIsWrittenOnceAndAgainWhenItHasChanged)
{
    RunnerAddresses addresses;
    addresses.require(startsOn({"i-1", "i-1"}), runnersAt({{"i-1", First}}));
    EXPECT_EQ(taken(addresses, 9), Texts{"i-1=10.1.0.5:8340"});
    addresses.require(startsOn({"i-1"}), runnersAt({{"i-1", First}}));
    EXPECT_EQ(taken(addresses, 9), Texts{});
    addresses.require(startsOn({"i-1"}), runnersAt({{"i-1", Second}}));
    EXPECT_EQ(taken(addresses, 9), Texts{"i-1=10.1.0.6:8340"});
}

// The runner may have left the pool since the task was placed there.
TEST(RunnerAddresses, StartOnARunnerThatHasLeftNeedsNone)
{
    RunnerAddresses addresses;
    addresses.require(startsOn({"i-1", "i-2"}), runnersAt({{"i-2", Second}}));
    EXPECT_EQ(addresses.requiredCount(), 1U);
    EXPECT_EQ(taken(addresses, 9), Texts{"i-2=10.1.0.6:8340"});
}

TEST(RunnerAddresses, WhatDoesNotFitIsTakenLaterAndRequiredOnesComeFirst)
{
    RunnerAddresses addresses;
    addresses.load({{"i-0", First}});
    addresses.forget(runnersAt({{"i-1", First}, {"i-2", Second}}));
    addresses.require(startsOn({"i-1", "i-2"}), runnersAt({{"i-1", First}, {"i-2", Second}}));
    EXPECT_EQ(taken(addresses, 1), Texts{"i-1=10.1.0.5:8340"});
    EXPECT_EQ(addresses.requiredCount(), 1U);
    EXPECT_EQ(taken(addresses, 9), (Texts{"i-2=10.1.0.6:8340", "i-0="}));
    EXPECT_EQ(taken(addresses, 9), Texts{});
}

// The store has refused the transaction that contained them.
TEST(RunnerAddresses, ChangesThatWereNotWrittenAreTakenAgain)
{
    RunnerAddresses addresses;
    addresses.load({{"i-0", First}});
    const RunnerAddresses::Runners runners = runnersAt({{"i-1", Second}});
    addresses.forget(runners);
    addresses.require(startsOn({"i-1"}), runners);
    const std::vector<RunnerAddresses::Change> changes = addresses.takeChanges(9);
    EXPECT_EQ(changes.size(), 2U);
    addresses.putBack(changes);
    addresses.forget(runners);
    addresses.require(startsOn({"i-1"}), runners);
    EXPECT_EQ(taken(addresses, 9), (Texts{"i-1=10.1.0.6:8340", "i-0="}));
}

// A runner that is listed again keeps its row if it gets a start before the row is removed.
TEST(RunnerAddresses, RunnerThatIsBackKeepsItsRow)
{
    RunnerAddresses addresses;
    addresses.load({{"i-1", First}});
    addresses.forget({});
    addresses.require(startsOn({"i-1"}), runnersAt({{"i-1", First}}));
    EXPECT_EQ(taken(addresses, 9), Texts{});
}

} // namespace
} // namespace sequoiapier
