// Tests of the time for which a new holder of the orders for hosts waits. Orders of two holders for
// one host within the interval of the settings conflict, whatever the interval is; each longer wait
// leaves hosts without maintenance and pools without hosts. Maintenance waits for the interval with
// all hosts, moves only with those that the former holder may have ordered.
#include "testing/process/platformtest.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds OrderSlack{2'000}; // until the hosts are listed, emptied and ordered
constexpr milliseconds WaveTimeout{30'000};

double secondsOf(const json &line)
{
    std::istringstream text(line.value("time", ""));
    std::tm parts{};
    char date = 0;
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    char separator = 0;
    text >> parts.tm_year >> date >> parts.tm_mon >> date >> parts.tm_mday >> date >> hours
        >> separator >> minutes >> separator >> seconds;
    return hours * 3'600.0 + minutes * 60.0 + seconds;
}

class HolderInterval : public PlatformTest, public testing::WithParamInterface<int>
{
protected:
    void SetUp() override
    {
        system().setBounds(json{{"lease_ms", GetParam()}}.dump());
        PlatformTest::SetUp();
    }

    std::vector<json> eventsOf(const std::string &node, const std::string &event)
    {
        std::vector<json> lines = logOf(node);
        std::erase_if(lines, [&](const json &line) { return line.value("event", "") != event; });
        return lines;
    }

    std::vector<json> ordersOf(const std::string &node, const std::string &kind)
    {
        std::vector<json> orders = eventsOf(node, "host.ordered");
        std::erase_if(orders, [&](const json &line) { return line.value("kind", "") != kind; });
        return orders;
    }

    // The node that has ordered hosts; empty if none has.
    std::string holder()
    {
        for (const std::string &node : nodes()) {
            if (!eventsOf(node, "host.ordered").empty())
                return node;
        }
        return {};
    }

    static double intervalSeconds() { return GetParam() / 1'000.0; }
};

TEST_P(HolderInterval, NextHolderWaitsForItAndNoLonger)
{
    writeOperatorRow(
        "wave/7",
        {{"wave", 7}, {"machines", {"m-0", "m-1", "m-2", "m-3"}}, {"duration_s", 30}, {"cap", 1}});
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return !holder().empty(); }, WaveTimeout));
    const std::string former = holder();
    system().member(former).process.signal(SIGKILL);
    std::string next;
    ASSERT_TRUE(LocalSystem::waitUntil(
        [&] {
            for (const std::string &node : nodes()) {
                if (node != former && !ordersOf(node, "maintenance").empty())
                    next = node;
            }
            return !next.empty();
        },
        WaveTimeout));
    std::vector<json> acquired = eventsOf(next, "resource.acquired");
    std::erase_if(acquired, [](const json &line) { return line.value("resource", "") != "fleet"; });
    ASSERT_FALSE(acquired.empty());
    const double waited
        = secondsOf(ordersOf(next, "maintenance").front()) - secondsOf(acquired.back());
    EXPECT_GE(waited, intervalSeconds());
    EXPECT_LT(waited, intervalSeconds() + OrderSlack.count() / 1'000.0);
    for (const json &later : eventsOf(next, "host.ordered")) {
        for (const json &earlier : eventsOf(former, "host.ordered")) {
            if (later["host"] == earlier["host"])
                EXPECT_GE(secondsOf(later) - secondsOf(earlier), intervalSeconds()) << later;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Settings, HolderInterval, testing::Values(500, 1'500, 6'000),
                         [](const auto &info) { return std::to_string(info.param) + "Ms"; });

// A pool that needs hosts and a spare pool that has them.
class MoveHolderInterval : public PlatformTest
{
protected:
    static constexpr int IntervalMilliseconds = 6'000;
    static constexpr int SpareHosts = 30; // more than the first job of the test needs

    void SetUp() override
    {
        system().setBounds(json{{"lease_ms", IntervalMilliseconds}}.dump());
        ASSERT_TRUE(system().startPlatform("vanload:1,sundries:" + std::to_string(SpareHosts),
                                           1 + SpareHosts, 8, nodes()));
        configureQueues(1, {{"/quotes/", "vanload"}}, {"vanload"}, 0);
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &node : nodes())
            ASSERT_TRUE(system().waitReady(node)) << node;
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return get("/quotes/").response.status == 200; }));
    }

    // Times of the node's accepted orders by host.
    std::map<std::string, std::vector<double>> ordersOf(const std::string &node)
    {
        std::map<std::string, std::vector<double>> orders;
        for (const json &line : logOf(node)) {
            if (line.value("event", "") == "host.ordered"
                && line.value("outcome", "") == "accepted")
                orders[line.value("host", "")].push_back(secondsOf(line));
        }
        return orders;
    }
};

// Guards against a pool at its peak that gets no hosts for the whole interval because the owner of
// the fleet has died, and against orders of two holders for one host within it.
TEST_F(MoveHolderInterval, NextHolderMovesHostsThatTheFormerOneHasNotOrderedAtOnce)
{
    ASSERT_EQ(submit("node-1", "00000000000000a1", 10, 20'000), 200);
    std::string former;
    ASSERT_TRUE(LocalSystem::waitUntil(
        [&] {
            for (const std::string &node : nodes()) {
                if (!ordersOf(node).empty())
                    former = node;
            }
            return !former.empty();
        },
        WaveTimeout));
    const auto formerOrders = ordersOf(former);
    system().member(former).process.signal(SIGKILL);
    const std::string alive = former == "node-1" ? "node-2" : "node-1";
    ASSERT_TRUE(LocalSystem::waitUntil(
        [&] { return submit(alive, "00000000000000a2", 200, 20'000) == 200; }, WaveTimeout));
    std::string next;
    ASSERT_TRUE(LocalSystem::waitUntil(
        [&] {
            for (const std::string &node : nodes()) {
                if (node != former && !ordersOf(node).empty())
                    next = node;
            }
            return !next.empty();
        },
        WaveTimeout));
    double acquiredAt = 0;
    for (const json &line : logOf(next)) {
        if (line.value("event", "") == "resource.acquired" && line.value("resource", "") == "fleet")
            acquiredAt = secondsOf(line);
    }
    double firstAt = std::numeric_limits<double>::max();
    for (const auto &[host, times] : ordersOf(next)) {
        firstAt = std::min(firstAt, times.front());
        const auto before = formerOrders.find(host);
        if (before != formerOrders.end())
            EXPECT_GE(times.front() - before->second.back(), IntervalMilliseconds / 1'000.0)
                << host;
    }
    EXPECT_LT(firstAt - acquiredAt, IntervalMilliseconds / 1'000.0);
    EXPECT_EQ(violations(), "[]");
}

} // namespace
} // namespace sequoiapier
