#include "jobs/ceilingparts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace sequoiapier::jobs {
namespace {

std::int64_t sum(const CeilingParts &parts)
{
    return std::accumulate(
        parts.pools.begin(), parts.pools.end(), std::int64_t(0),
        [](std::int64_t all, const auto &item) { return all + item.second.part; });
}

// A request of a pool all of whose waiting tasks have room on hosts.
std::optional<CeilingParts> request(const CeilingParts &parts, const std::string &pool,
                                    std::uint64_t epoch, std::int64_t wanted, std::int64_t inUse)
{
    return adjusted(parts, pool, epoch, {.wanted = wanted, .needed = wanted}, inUse);
}

TEST(CeilingParts, FollowTheWantsOfThePools)
{
    CeilingParts parts = *request({}, "vanload", 1, 800, 0);
    EXPECT_EQ(parts.of("vanload"), 800);
    parts = *request(parts, "roundsman", 1, 500, 0);
    EXPECT_EQ(parts.of("roundsman"), 200); // This is what vanload leaves.
    parts = *request(parts, "vanload", 1, 800, 300);
    EXPECT_EQ(parts.of("vanload"), 500); // This is the max-min share.
    parts = *request(parts, "roundsman", 1, 500, 200);
    EXPECT_EQ(parts.of("roundsman"), 500);
    parts = *request(parts, "vanload", 1, 0, 0);
    EXPECT_EQ(parts.of("vanload"), 0);
}

TEST(CeilingParts, WhatIsInUseStaysCounted)
{
    CeilingParts parts = *request({}, "vanload", 1, 1'000, 0);
    parts = *request(parts, "roundsman", 1, 1'000, 0);
    EXPECT_EQ(parts.of("roundsman"), 0);
    parts = *request(parts, "vanload", 1, 1'000, 900);
    EXPECT_EQ(parts.of("vanload"), 900);
}

TEST(CeilingParts, EarlierOwnerChangesNothing)
{
    const CeilingParts parts = *request({}, "vanload", 3, 500, 0);
    EXPECT_FALSE(request(parts, "vanload", 2, 900, 0));
    EXPECT_TRUE(request(parts, "vanload", 4, 900, 0));
}

RC_GTEST_PROP(CeilingPartsProperty, NeverAddUpToMoreThanTheCeiling, ())
{
    CeilingParts parts;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const std::string pool(1, char('a' + *rc::gen::inRange(0, 5)));
        const auto wanted = *rc::gen::inRange<std::int64_t>(-10, 3'000);
        const auto inUse = *rc::gen::inRange<std::int64_t>(0, parts.of(pool) + 1);
        parts = *request(parts, pool, 1, wanted, inUse);
        RC_ASSERT(sum(parts) <= WholeCeiling);
        RC_ASSERT(parts.of(pool) >= inUse);
        RC_ASSERT(parseCeilingParts(encodeCeilingParts(parts)).value() == parts);
    }
}

// No even part holds a task. The pools that wait longest get a part that does.
TEST(CeilingParts, PartTooSmallForAnyTaskIsLeftToAnotherPool)
{
    CeilingParts parts;
    const std::vector<std::string> pools{"vanload", "roundsman", "depotline"};
    const auto ask = [&](std::size_t i) {
        const CeilingNeed need{
            .wanted = 830, .needed = 830, .least = 415, .waitingSince = std::int64_t(i + 1)};
        parts = *adjusted(parts, pools[i], 1, need, 0);
    };
    ask(0);
    ask(1);
    ask(2);
    for (int round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < pools.size(); ++i)
            ask(i);
    }
    EXPECT_GE(parts.of("vanload"), 415);
    EXPECT_GE(parts.of("roundsman"), 415);
    EXPECT_EQ(parts.of("depotline"), 0);
    parts = *adjusted(parts, "vanload", 1, {}, 0);
    ask(2);
    EXPECT_GE(parts.of("depotline"), 415);
}

// The longest waiting task does not fit beside lasting ones, which never give their part back.
TEST(CeilingParts, TaskThatDoesNotFitBesideLastingOnesHoldsUpNoOther)
{
    CeilingParts parts;
    parts = *adjusted(parts, "vanload", 1, {.wanted = 400, .needed = 400, .lasting = 400}, 400);
    parts = *adjusted(parts, "roundsman", 1,
                      {.wanted = 800, .needed = 800, .least = 800, .waitingSince = 1}, 0);
    EXPECT_EQ(parts.of("roundsman"), 0);
    parts = *adjusted(parts, "depotline", 1,
                      {.wanted = 300, .needed = 300, .least = 300, .waitingSince = 2}, 0);
    EXPECT_EQ(parts.of("depotline"), 300);
}

// The hosts of one pool are full, so that a larger part would start nothing there.
TEST(CeilingParts, WaitingWorkWithoutRoomLeavesThePartToWorkThatHasIt)
{
    CeilingParts parts;
    parts = *adjusted(parts, "vanload", 1, {.wanted = 1'000, .needed = 300}, 300);
    EXPECT_EQ(parts.of("vanload"), 1'000);
    const CeilingNeed need{.wanted = 500, .needed = 500, .least = 500, .waitingSince = 1};
    parts = *adjusted(parts, "roundsman", 1, need, 0);
    parts = *adjusted(parts, "vanload", 1, {.wanted = 1'000, .needed = 300}, 300);
    parts = *adjusted(parts, "roundsman", 1, need, 0);
    EXPECT_EQ(parts.of("roundsman"), 500);
    EXPECT_GE(parts.of("vanload"), 300);
}

// Whatever the pools ask for, one that waits for a task gets a part for it once it has waited
// longest and the others use no more than their parts.
RC_GTEST_PROP(CeilingPartsProperty, LongestWaitingPoolGetsAPartOfUse, ())
{
    CeilingParts parts;
    std::map<std::string, CeilingNeed> needs;
    const auto pools = *rc::gen::inRange(1, 6);
    for (int i = 0; i < pools; ++i) {
        const auto least = *rc::gen::inRange<std::int64_t>(1, WholeCeiling + 1);
        const auto needed = *rc::gen::inRange<std::int64_t>(least, 3'000);
        needs[std::string(1, char('a' + i))]
            = {.wanted = needed, .needed = needed, .least = least, .waitingSince = i + 1};
    }
    for (int round = 0; round < 3; ++round) {
        for (const auto &[pool, need] : needs)
            parts = *adjusted(parts, pool, 1, need, 0);
    }
    RC_ASSERT(parts.of("a") >= needs["a"].least);
    for (const auto &[pool, need] : needs)
        RC_ASSERT(parts.of(pool) == 0 || parts.of(pool) >= need.least);
}

// The pool's tasks end one after the other, and each is followed by another. Without a limit below
// its part, the pool would hold the whole part for as long as it has work.
TEST(CeilingParts, PoolThatIsFullOfWorkStartsNothingAboveItsShare)
{
    CeilingParts parts;
    parts = *adjusted(parts, "vanload", 1, {.wanted = 5'000, .needed = 1'000}, 0);
    parts = *adjusted(parts, "roundsman", 1,
                      {.wanted = 600, .needed = 600, .least = 600, .waitingSince = 1}, 0);
    parts = *adjusted(parts, "vanload", 1, {.wanted = 5'000, .needed = 1'000}, 1'000);
    EXPECT_EQ(parts.of("vanload"), 1'000);
    EXPECT_EQ(limitOf(parts, "vanload"), 400);
    EXPECT_EQ(limitOf(parts, "depotline"), 0);
}

// Needs change with each task. The row is written only when others would divide it otherwise.
TEST(CeilingParts, SmallChangesOfANeedAreNotWritten)
{
    const CeilingPart old{.epoch = 1, .part = 500, .need = {.wanted = 900, .needed = 450}};
    const auto isWritten = [&](const CeilingNeed &need, std::int64_t part = 500) {
        return isWorthWriting(old, {.epoch = 1, .part = part, .need = need});
    };
    EXPECT_FALSE(isWritten({.wanted = 850, .needed = 480}));
    EXPECT_TRUE(isWritten({.wanted = 850, .needed = 520})); // The pool is short now.
    EXPECT_TRUE(isWritten({.wanted = 850, .needed = 300}));
    EXPECT_TRUE(isWritten({.wanted = 500, .needed = 450}));
    EXPECT_TRUE(isWritten({.wanted = 900, .needed = 450, .lasting = 10}));
    EXPECT_TRUE(isWritten({.wanted = 900, .needed = 450, .least = 80, .waitingSince = 5}));
    EXPECT_TRUE(isWritten(old.need, 400));
    EXPECT_TRUE(isWorthWriting(old, {.epoch = 2, .part = 500, .need = old.need}));
}

TEST(CeilingParts, RowOfAnEarlierVersionIsRead)
{
    const CeilingParts parts = parseCeilingParts(R"({"vanload":[3,250,400]})").value();
    EXPECT_EQ(parts.pools.at("vanload").part, 250);
    EXPECT_EQ(parts.pools.at("vanload").need, (CeilingNeed{.wanted = 400, .needed = 400}));
}

TEST(CeilingParts, MalformedRowIsRefused)
{
    for (const char *text : {"", "[]", "{\"a\":1}", "{\"a\":[1,2]}", "{\"a\":[\"x\",1,2]}"})
        EXPECT_FALSE(parseCeilingParts(text)) << text;
}

} // namespace
} // namespace sequoiapier::jobs
