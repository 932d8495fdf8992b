#include "platform/hostclient.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

TEST(HostClient, ParsesWhatTheInterfaceAnswers)
{
    const auto hosts = detail::parseHostListings(
        R"({"hosts": [{"host": "a", "state": "leaving", "admittedEpoch": 3}]})");
    ASSERT_TRUE(hosts);
    ASSERT_EQ(hosts.value().size(), 1U);
    EXPECT_TRUE(hosts.value().front().isLeaving);
    EXPECT_EQ(hosts.value().front().admittedEpoch, 3U);
    const auto report = detail::parseHostReport(
        R"({"fencedEpoch": 4, "running": 2, "admittedEpoch": 0, "maintainedEpoch": 1, "x": []})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report.value().running, 2U);
}

// A malformed count of running tasks that is read as 0 would make a busy host look empty.
TEST(HostClient, RefusesWhatCanNotBeAReport)
{
    for (const char *document :
         {"", "[]", "7", "{}", R"({"hosts": 3})", R"({"hosts": [{"host": "a"}]})",
          R"({"hosts": [{"host": "a", "state": "dead", "admittedEpoch": 3}]})",
          R"({"hosts": [{"host": "a", "state": "live", "admittedEpoch": -3}]})"})
        EXPECT_FALSE(detail::parseHostListings(document)) << document;
    for (const char *running : {"-1", "0.5", "\"0\"", "null", "4294967296"}) {
        const std::string document = std::string(R"({"fencedEpoch": 4, "running": )") + running
            + R"(, "admittedEpoch": 0, "maintainedEpoch": 1})";
        EXPECT_FALSE(detail::parseHostReport(document)) << document;
    }
}

} // namespace
} // namespace sequoiapier
