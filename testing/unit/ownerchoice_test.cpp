#include "sequoiapier/ownerchoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

TEST(OwnerChoice, LeastLoadForTheCapacityIsPicked)
{
    const std::vector<OwnerCandidate> members{{.name = "small", .capacity = 0.12},
                                              {.name = "large", .capacity = 0.5, .owned = 1}};
    EXPECT_EQ(leastLoaded("pool/a", members), 1u); // load 2 / 0.5 against 1 / 0.12
    EXPECT_EQ(leastLoaded("pool/a", {}), 0u);
}

TEST(OwnerChoice, EqualMembersAreToldApartByTheResourceInAnyOrder)
{
    const std::vector<OwnerCandidate> members{{.name = "a"}, {.name = "b"}, {.name = "c"}};
    const std::vector<OwnerCandidate> reversed{members.rbegin(), members.rend()};
    bool differs = false;
    for (int i = 0; i < 50; ++i) {
        const std::string resource = "pool/" + std::to_string(i);
        const std::string &picked = members[leastLoaded(resource, members)].name;
        EXPECT_EQ(picked, reversed[leastLoaded(resource, reversed)].name);
        differs = differs || picked != members[leastLoaded("pool/0", members)].name;
    }
    EXPECT_TRUE(differs);
}

// Guards against resources that move back and forth between two members.
TEST(OwnerChoice, HandOverIsNeverReversed)
{
    for (const double capacity : {0.12, 0.25, 0.5, 1.0}) {
        for (std::size_t owned = 1; owned < 6; ++owned) {
            for (std::size_t others = 0; others < 6; ++others) {
                OwnerCandidate owner{.name = "a", .capacity = 0.25, .owned = owned};
                OwnerCandidate other{.name = "b", .capacity = capacity, .owned = others};
                if (!isWorthHandingOver(owner, other))
                    continue;
                --owner.owned;
                ++other.owned;
                EXPECT_FALSE(isWorthHandingOver(other, owner)) << owned << " " << others;
            }
        }
    }
}

TEST(OwnerChoice, OneMoreThanTheOthersIsKept)
{
    const OwnerCandidate other{.name = "b", .owned = 1};
    EXPECT_FALSE(isWorthHandingOver({.name = "a", .owned = 2}, other));
    EXPECT_FALSE(isWorthHandingOver({.name = "a", .owned = 3}, other));
    EXPECT_TRUE(isWorthHandingOver({.name = "a", .owned = 4}, other));
}

TEST(OwnerChoice, WatchersAreOwnersAndTheirSuccessors)
{
    std::vector<OwnerCandidate> members{{.name = "a", .owned = 1}, {.name = "b", .owned = 1}};
    for (int i = 0; i < 20; ++i)
        members.push_back({.name = "idle" + std::to_string(i)});
    const std::vector<std::string> resources{"pool/1", "pool/2"};
    const std::vector<std::size_t> watching
        = watchers(resources, std::vector<std::size_t>{0, 1}, members);
    EXPECT_TRUE(std::is_sorted(watching.begin(), watching.end()));
    EXPECT_EQ(watching[0], 0u);
    EXPECT_EQ(watching[1], 1u);
    EXPECT_GE(watching.size(), 4u); // at least one successor for each, because both owners may fail
    EXPECT_LE(watching.size(), 6u);
}

TEST(OwnerChoice, AllOfFewMembersWatch)
{
    const std::vector<OwnerCandidate> members{{.name = "a", .owned = 1}, {.name = "b"}};
    const std::vector<std::string> resources{"pool/1"};
    EXPECT_EQ(watchers(resources, std::vector<std::size_t>{0}, members).size(), 2u);
    EXPECT_EQ(watchers(resources, std::vector<std::size_t>{2}, members).size(), 1u); // no owner
    EXPECT_TRUE(watchers(resources, std::vector<std::size_t>{0}, {}).empty());
}

} // namespace
} // namespace sequoiapier
