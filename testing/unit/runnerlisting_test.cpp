// Tests the list of live runners as it is kept from changed rows. A list that differs from what a
// whole read would return sends work to runners that have left or given notice, or leaves runners
// idle that have joined.
#include "node/runnerlisting.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millisecondsFromStart)
{
    return TimePoint(milliseconds(10'000 + millisecondsFromStart));
}

StoreRow listed(const std::string &id, const std::string &state = "ready")
{
    return {.key = {.table = "servers", .key = id},
            .value = R"({"service":"pool","addr":"10.0.0.1:80","state":")" + state
                + R"(","capacity":{"cpu":1000,"mem_mb":1024,"gpu":0}})"};
}

StoreRow removed(const std::string &id)
{
    return {.key = {.table = "servers", .key = id}, .isRemoved = true};
}

class RunnerListingTest : public testing::Test
{
protected:
    std::vector<std::string> ids(int sentAt)
    {
        std::vector<std::string> names;
        for (const jobs::RunnerEntry &entry : listing.confirm(at(sentAt), at(sentAt + 10)))
            names.push_back(entry.id);
        return names;
    }

    std::vector<std::string> unreadable;
    RunnerListing listing{[this](const std::string &runner) { unreadable.push_back(runner); }};
};

using Names = std::vector<std::string>;

TEST_F(RunnerListingTest, ChangesAddReplaceAndRemoveRunners)
{
    listing.replace(std::vector{listed("a"), listed("b")});
    EXPECT_EQ(ids(0), (Names{"a", "b"}));
    listing.apply(std::vector{removed("a"), listed("b", "draining"), listed("c")});
    EXPECT_EQ(ids(100), (Names{"b", "c"}));
    const auto runners = listing.confirm(at(200), at(210));
    EXPECT_TRUE(runners[0].isDraining);
    EXPECT_EQ(runners[0].listedAt, at(200));
}

TEST_F(RunnerListingTest, WholeListDropsWhatItDoesNotContain)
{
    listing.replace(std::vector{listed("a"), listed("b")});
    listing.replace(std::vector{listed("b")});
    EXPECT_EQ(ids(0), Names{"b"});
}

TEST_F(RunnerListingTest, LaterRowOfOnePageCounts)
{
    listing.apply(std::vector{listed("a"), removed("a"), removed("b"), listed("b")});
    EXPECT_EQ(ids(0), Names{"b"});
}

TEST_F(RunnerListingTest, MissingEntryIsKeptForSecondsAfterAnOutageWithItsOldTime)
{
    listing.replace(std::vector{listed("a"), listed("b")});
    ids(0);
    listing.onReadFailed(at(500));
    listing.replace(std::vector{listed("b")});
    const auto runners = listing.confirm(at(600), at(610));
    ASSERT_EQ(runners.size(), 2U);
    EXPECT_EQ(runners[0].listedAt, at(0));
    EXPECT_EQ(runners[1].listedAt, at(600));
    EXPECT_EQ(ids(500 + 2'500), Names{"b"});
}

TEST_F(RunnerListingTest, UnreadableRowNamesNoRunnerAndIsReportedOnce)
{
    listing.replace(std::vector{listed("a"), listed("b")});
    StoreRow broken = listed("a");
    broken.value = "\xff{";
    listing.apply(std::vector{broken});
    listing.apply(std::vector{broken});
    EXPECT_EQ(ids(0), Names{"b"});
    EXPECT_EQ(unreadable, Names{"a"});
}

RC_GTEST_PROP(RunnerListing, ChangesLeadToTheSameListAsAWholeRead, ())
{
    RunnerListing listing([](const std::string &) {});
    std::map<std::string, StoreRow> store;
    const int rounds = *rc::gen::inRange(1, 20);
    for (int round = 0; round < rounds; ++round) {
        std::vector<StoreRow> changes;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
            const std::string id(1, *rc::gen::inRange('a', 'f'));
            const bool isRemoved = *rc::gen::arbitrary<bool>();
            changes.push_back(isRemoved ? removed(id) : listed(id));
            if (isRemoved)
                store.erase(id);
            else
                store[id] = changes.back();
        }
        listing.apply(changes);
        Names names;
        for (const jobs::RunnerEntry &entry : listing.confirm(at(round), at(round)))
            names.push_back(entry.id);
        Names expected;
        for (const auto &[id, row] : store)
            expected.push_back(id);
        RC_ASSERT(names == expected);
    }
}

} // namespace
} // namespace sequoiapier
