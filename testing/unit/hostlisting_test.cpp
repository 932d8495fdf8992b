// A host that one read of the list leaves out is not gone yet.
#include "fleet/fleetplanner.h"
#include "fleet/hostlisting.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

const FleetHost A{.name = "a", .pool = "vanload", .state = FleetHostState::Up};
const FleetHost B{.name = "b", .pool = "vanload", .state = FleetHostState::Up};

TEST(HostListing, WaveIsNotCompleteWhileAHostIsLeftOutOnce)
{
    const WaveState wave{.order = {.number = 1, .hosts = {"a", "b"}}, .begun = {"a"}};
    HostListing listing;
    listing.replace(std::vector{A, B});
    EXPECT_FALSE(listing.isSettled());
    listing.replace(std::vector{A});
    EXPECT_TRUE(listing.isSettled());
    EXPECT_EQ(remainingHosts(wave, listing.hosts()), std::vector<std::string>{"b"});
    EXPECT_EQ(listing.hosts().back().state, FleetHostState::Down);
    listing.replace(std::vector{A, B});
    EXPECT_EQ(listing.hosts().back().state, FleetHostState::Up);
}

TEST(HostListing, HostThatTwoReadsLeaveOutIsGone)
{
    const WaveState wave{.order = {.number = 1, .hosts = {"a", "b"}}, .begun = {"a"}};
    HostListing listing;
    listing.replace(std::vector{A, B});
    listing.replace(std::vector{A});
    listing.replace(std::vector{A});
    EXPECT_TRUE(remainingHosts(wave, listing.hosts()).empty());
    EXPECT_EQ(listing.hosts().size(), 1U);
}

} // namespace
} // namespace sequoiapier
