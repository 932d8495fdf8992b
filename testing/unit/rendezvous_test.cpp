#include "sequoiapier/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace sequoiapier {
namespace {

constexpr int Resources = 3'000;

std::string resourceName(int index)
{
    return "slots/" + std::to_string(index);
}

std::vector<std::string> memberNames()
{
    std::vector<std::string> names;
    names.reserve(9);
    for (int i = 0; i < 9; ++i)
        names.push_back("scheduler-" + std::to_string(i));
    return names;
}

TEST(Rendezvous, PicksTheSameInAnyOrder)
{
    const std::vector<std::string> names = memberNames();
    std::vector<std::string> reversed(names.rbegin(), names.rend());
    for (int i = 0; i < Resources; ++i) {
        const std::string &picked = names[rendezvousPick(resourceName(i), names)];
        ASSERT_EQ(picked, reversed[rendezvousPick(resourceName(i), reversed)]);
    }
    EXPECT_EQ(rendezvousPick("slots/0", {}), 0u);
}

TEST(Rendezvous, LeavingMovesOnlyThatMembersPart)
{
    const std::vector<std::string> names = memberNames();
    const std::span<const std::string> fewer = std::span(names).first(names.size() - 1);
    for (int i = 0; i < Resources; ++i) {
        const std::size_t before = rendezvousPick(resourceName(i), names);
        if (before < fewer.size()) {
            ASSERT_EQ(rendezvousPick(resourceName(i), fewer), before);
        }
    }
}

TEST(Rendezvous, ZonesGetEvenParts)
{
    std::array<int, 3> perZone{};
    const std::vector<std::string> names = memberNames();
    for (int i = 0; i < Resources; ++i)
        ++perZone[rendezvousPick(resourceName(i), names) % perZone.size()];
    for (const int count : perZone)
        EXPECT_NEAR(count, Resources / 3.0, Resources / 30.0);
}

} // namespace
} // namespace sequoiapier
