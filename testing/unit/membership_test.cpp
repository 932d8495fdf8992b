#include "sequoiapier/membership.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

TableRow makeRow(const std::string &name, const std::string &zone, std::uint64_t restarts = 0)
{
    const MemberRow self{
        .name = name, .role = "gateway", .zone = zone, .address = "10.0.0." + name.substr(1)};
    std::optional<TableRow> row;
    for (std::uint64_t i = 0; i <= restarts; ++i) {
        const RowWrite write = registerMember(self, row).write;
        row = TableRow{write.key, *write.value, i + 1};
    }
    return *row;
}

std::vector<TableRow> sixRows()
{
    return {makeRow("m1", "a"), makeRow("m2", "a"), makeRow("m3", "a"),
            makeRow("m4", "b"), makeRow("m5", "b"), makeRow("m6", "c")};
}

TEST(Membership, RestartIsAnotherIncarnation)
{
    Membership membership({.self = "m1"});
    membership.onRows(Start, sixRows(), Start);
    EXPECT_TRUE(membership.onHeartbeat("m2", 1, Start));
    const std::vector<TableRow> rows{makeRow("m1", "a"), makeRow("m2", "a", 1)};
    membership.onRows(Start + 1s, rows, Start + 1s);
    EXPECT_FALSE(membership.isAlive("m2", Start + 1s))
        << "kept alive by a heartbeat of the earlier incarnation";
    EXPECT_FALSE(membership.onHeartbeat("m2", 1, Start + 1s));
    EXPECT_TRUE(membership.onHeartbeat("m2", 2, Start + 1s));
    EXPECT_TRUE(membership.isAlive("m2", Start + 1s));
    EXPECT_FALSE(membership.onHeartbeat("m9", 1, Start + 1s)) << "the member has no row";
}

TEST(Membership, HeartbeatOfANewIncarnationPrecedesItsRow)
{
    Membership membership({.self = "m1"});
    membership.onRows(Start, sixRows(), Start);
    EXPECT_TRUE(membership.onHeartbeat("m2", 2, Start));
    EXPECT_FALSE(membership.onHeartbeat("m2", 1, Start + 1s))
        << "delayed heartbeat of the earlier incarnation";
    membership.onRows(Start + 1s, sixRows(), Start + 1s);
    EXPECT_FALSE(membership.onHeartbeat("m2", 1, Start + 1s))
        << "the scan reset the highest incarnation";
}

TEST(Membership, AliveUntilTheTimeout)
{
    Membership membership({.self = "m1", .heartbeatTimeout = 2s});
    membership.onRows(Start, sixRows(), Start);
    EXPECT_FALSE(membership.isAlive("m4", Start));
    membership.onHeartbeat("m4", 1, Start);
    EXPECT_TRUE(membership.isAlive("m4", Start + 2s - 1us));
    EXPECT_FALSE(membership.isAlive("m4", Start + 2s));
}

TEST(Membership, LeavingListOnlyStopsNewWork)
{
    Membership membership({.self = "m1", .leavingDuration = 30s});
    membership.onRows(Start, sixRows(), Start);
    membership.onHeartbeat("m2", 1, Start);
    const std::vector<std::string> leaving{"10.0.0.2", "10.0.0.3"};
    membership.onLeavingHosts(leaving, Start);
    EXPECT_TRUE(membership.isAlive("m2", Start));
    EXPECT_FALSE(membership.takesNewWork("m2", Start));
    EXPECT_FALSE(membership.takesNewWork("m3", Start))
        << "being listed does not prove that a host is alive";
    membership.onHeartbeat("m2", 1, Start + 30s);
    EXPECT_TRUE(membership.takesNewWork("m2", Start + 30s));
}

TEST(Membership, TableReadersAreSpreadOverZones)
{
    std::vector<std::string> readers;
    for (const char *self : {"m1", "m2", "m3", "m4", "m5", "m6"}) {
        Membership membership({.self = self});
        membership.onRows(Start, sixRows(), Start);
        for (const char *peer : {"m1", "m2", "m3", "m4", "m5", "m6"})
            membership.onHeartbeat(peer, 1, Start);
        if (membership.isTableReader(3, Start))
            readers.push_back(self);
    }
    EXPECT_EQ(readers, (std::vector<std::string>{"m1", "m4", "m6"}));
}

TEST(Membership, MalformedAndExcessRowsAreLeftOut)
{
    Membership membership({.self = "m1", .maxMembers = 5});
    std::vector<TableRow> rows = sixRows();
    rows.insert(rows.begin(), {"members/m0", "{\"name\":", 1});
    rows.insert(rows.begin(), {"members/m7", *registerMember({.name = "m8"}, {}).write.value, 1});
    EXPECT_EQ(membership.onRows(Start, rows, Start), 3U);
    EXPECT_EQ(membership.size(), 5U);
    EXPECT_EQ(membership.onRows(Start - 1s, {}, Start), 0U) << "an earlier scan";
    EXPECT_EQ(membership.size(), 5U);
}

TEST(Membership, SilentRowsAreRemovedByCompareAndSet)
{
    Membership membership({.self = "m1", .rowRetention = 2h});
    const std::vector<TableRow> rows{makeRow("m1", "a"), makeRow("m2", "a"), makeRow("m3", "a", 4)};
    membership.onRows(Start, rows, Start);
    membership.onHeartbeat("m2", 1, Start + 1h);
    EXPECT_TRUE(membership.removals(Start + 2h - 1us).empty());
    const std::vector<RowWrite> removals = membership.removals(Start + 2h);
    ASSERT_EQ(removals.size(), 1U);
    EXPECT_EQ(removals.front().key, "members/m3");
    EXPECT_FALSE(removals.front().value.has_value());
    EXPECT_EQ(removals.front().baseVersion, 5U);
}

TEST(MemberRow, IncarnationGrowsOverAMalformedRow)
{
    const TableRow malformed{"members/m1", "?", 17};
    EXPECT_EQ(registerMember({.name = "m1"}, malformed).incarnation, 18U);
    EXPECT_EQ(registerMember({.name = "m1"}, malformed).write.baseVersion, 17U);
}

} // namespace
} // namespace sequoiapier
