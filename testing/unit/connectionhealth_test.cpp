#include "net/connectionhealth.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

TEST(ConnectionHealth, OnlyRecentBytesProveItAlive)
{
    const TimePoint start{1h};
    ConnectionHealth health(start);
    EXPECT_TRUE(health.canSend(false, start + 1s));
    EXPECT_FALSE(health.canSend(false, start + 1001ms));
    EXPECT_TRUE(health.canSend(true, start + 1001ms));
    health.onBytesReceived(start + 5s);
    EXPECT_TRUE(health.canSend(false, start + 6s));
    EXPECT_FALSE(health.canSend(false, start + 6001ms));
}

TEST(ConnectionHealth, UnansweredConnectionCarriesNothingMore)
{
    const TimePoint start{1h};
    ConnectionHealth health(start);
    health.onRequestTimeout();
    health.onBytesReceived(start);
    EXPECT_FALSE(health.canSend(true, start));
    EXPECT_FALSE(health.canSend(false, start));
}

} // namespace
} // namespace sequoiapier
