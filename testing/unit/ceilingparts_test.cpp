#include "jobs/ceilingparts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace sequoiapier::jobs {
namespace {

std::int64_t sum(const CeilingParts &parts)
{
    return std::accumulate(
        parts.pools.begin(), parts.pools.end(), std::int64_t(0),
        [](std::int64_t all, const auto &item) { return all + item.second.part; });
}

TEST(CeilingParts, FollowTheWantsOfThePools)
{
    CeilingParts parts = *adjusted({}, "vanload", 1, 800, 0);
    EXPECT_EQ(parts.of("vanload"), 800);
    parts = *adjusted(parts, "roundsman", 1, 500, 0);
    EXPECT_EQ(parts.of("roundsman"), 200); // This is what vanload leaves.
    parts = *adjusted(parts, "vanload", 1, 800, 300);
    EXPECT_EQ(parts.of("vanload"), 500); // This is the max-min share.
    parts = *adjusted(parts, "roundsman", 1, 500, 200);
    EXPECT_EQ(parts.of("roundsman"), 500);
    parts = *adjusted(parts, "vanload", 1, 0, 0);
    EXPECT_EQ(parts.of("vanload"), 0);
}

TEST(CeilingParts, WhatIsInUseStaysCounted)
{
    CeilingParts parts = *adjusted({}, "vanload", 1, 1'000, 0);
    parts = *adjusted(parts, "roundsman", 1, 1'000, 0);
    EXPECT_EQ(parts.of("roundsman"), 0);
    parts = *adjusted(parts, "vanload", 1, 1'000, 900);
    EXPECT_EQ(parts.of("vanload"), 900);
}

TEST(CeilingParts, EarlierOwnerChangesNothing)
{
    const CeilingParts parts = *adjusted({}, "vanload", 3, 500, 0);
    EXPECT_FALSE(adjusted(parts, "vanload", 2, 900, 0));
    EXPECT_TRUE(adjusted(parts, "vanload", 4, 900, 0));
}

RC_GTEST_PROP(CeilingPartsProperty, NeverAddUpToMoreThanTheCeiling, ())
{
    CeilingParts parts;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const std::string pool(1, char('a' + *rc::gen::inRange(0, 5)));
        const auto wanted = *rc::gen::inRange<std::int64_t>(-10, 3'000);
        const auto inUse = *rc::gen::inRange<std::int64_t>(0, parts.of(pool) + 1);
        parts = *adjusted(parts, pool, 1, wanted, inUse);
        RC_ASSERT(sum(parts) <= WholeCeiling);
        RC_ASSERT(parts.of(pool) >= inUse);
        RC_ASSERT(parseCeilingParts(encodeCeilingParts(parts)).value() == parts);
    }
}

TEST(CeilingParts, MalformedRowIsRefused)
{
    for (const char *text : {"", "[]", "{\"a\":1}", "{\"a\":[1,2]}", "{\"a\":[\"x\",1,2]}"})
        EXPECT_FALSE(parseCeilingParts(text)) << text;
}

} // namespace
} // namespace sequoiapier::jobs
