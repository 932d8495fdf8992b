// A new holder of the orders for hosts must not order a host that the former holder may have
// ordered within the holder interval, and must not wait for any other host.
#include "fleet/recentorders.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr Duration Interval = milliseconds(3'000);
const TimePoint Start{std::chrono::seconds(100)};

TEST(RecentOrders, BlocksInheritedHostsForTheIntervalAndNoOthers)
{
    RecentOrders recent(Interval);
    recent.inherit({"m-1", "m-2"}, Start);
    EXPECT_TRUE(recent.isBlocked("m-1", Start));
    EXPECT_TRUE(recent.isBlocked("m-2", Start + Interval - milliseconds(1)));
    EXPECT_FALSE(recent.isBlocked("m-2", Start + Interval));
    EXPECT_FALSE(recent.isBlocked("m-3", Start));
}

// Guards against two changes of the holder in a row: the second new holder would otherwise order a
// host within the interval of the first one's order.
TEST(RecentOrders, KeepsInheritedHostsInTheRowUntilTheirTimeIsOver)
{
    RecentOrders recent(Interval);
    recent.inherit({"m-1"}, Start);
    EXPECT_EQ(recent.hosts(Start), std::set<std::string>{"m-1"});
    EXPECT_TRUE(recent.hosts(Start + Interval).empty());
}

// Guards against an order that is sent late: the interval counts from the last moment at which it
// may arrive, not from when it was noted.
TEST(RecentOrders, KeepsAHostUntilTheIntervalAfterItsOrderMayArrive)
{
    RecentOrders recent(Interval);
    recent.add("m-1", Start + milliseconds(1'500));
    recent.add("m-1", Start + milliseconds(200));
    EXPECT_EQ(recent.hosts(Start + milliseconds(4'499)), std::set<std::string>{"m-1"});
    EXPECT_TRUE(recent.hosts(Start + milliseconds(4'500)).empty());
}

TEST(RecentOrders, RowsAreReadAsWritten)
{
    const RecentOrdersRow row{.epoch = 7, .hosts = {"m-1", "m \"2\""}};
    const Result<RecentOrdersRow> parsed = parseRecentOrders(encodeRecentOrders(row));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value().epoch, row.epoch);
    EXPECT_EQ(parsed.value().hosts, row.hosts);
}

// Guards against a damaged row that counts as "nothing was ordered".
TEST(RecentOrders, MalformedRowsAreRejected)
{
    for (const char *text : {"", "{", "[]", "{}", R"({"epoch":1})", R"({"epoch":-1,"hosts":[]})",
                             R"({"epoch":1,"hosts":"m-1"})", R"({"epoch":1,"hosts":["a",3]})"}) {
        EXPECT_FALSE(parseRecentOrders(text)) << text;
    }
}

} // namespace
} // namespace sequoiapier
