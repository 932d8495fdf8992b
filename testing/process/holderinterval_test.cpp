// Tests of the time for which a new holder of the orders for hosts waits. Orders of two holders for
// one host within the interval of the settings conflict, whatever the interval is; each longer wait
// leaves hosts without maintenance and pools without hosts.
#include "testing/process/platformtest.h"

#include <algorithm>
#include <ctime>
#include <sstream>

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
                if (node != former && !eventsOf(node, "host.ordered").empty())
                    next = node;
            }
            return !next.empty();
        },
        WaveTimeout));
    std::vector<json> acquired = eventsOf(next, "resource.acquired");
    std::erase_if(acquired, [](const json &line) { return line.value("resource", "") != "fleet"; });
    ASSERT_FALSE(acquired.empty());
    const double waited
        = secondsOf(eventsOf(next, "host.ordered").front()) - secondsOf(acquired.back());
    EXPECT_GE(waited, intervalSeconds());
    EXPECT_LT(waited, intervalSeconds() + OrderSlack.count() / 1'000.0);
}

INSTANTIATE_TEST_SUITE_P(Settings, HolderInterval, testing::Values(500, 1'500, 6'000),
                         [](const auto &info) { return std::to_string(info.param) + "Ms"; });

} // namespace
} // namespace sequoiapier
