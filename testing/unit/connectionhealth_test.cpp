#include "net/connectionhealth.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

TEST(ConnectionHealth, OnlyRecentBytesProveItAlive)
{
    const TimePoint start{1h};
    ConnectionHealth health(start);
    EXPECT_TRUE(health.mayCarry(false, start + 1s));
    EXPECT_FALSE(health.mayCarry(false, start + 1001ms));
    EXPECT_TRUE(health.mayCarry(true, start + 1001ms));
    health.onBytesReceived(start + 5s);
    EXPECT_TRUE(health.mayCarry(false, start + 6s));
    EXPECT_FALSE(health.mayCarry(false, start + 6001ms));
}

TEST(ConnectionHealth, UnansweredConnectionCarriesNothingMore)
{
    const TimePoint start{1h};
    ConnectionHealth health(start);
    health.onUnanswered();
    health.onBytesReceived(start);
    EXPECT_FALSE(health.mayCarry(true, start));
    EXPECT_FALSE(health.mayCarry(false, start));
}

} // namespace
} // namespace sequoiapier
