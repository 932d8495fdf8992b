// Tests which nodes make the calls of large pools. A choice that moves with every change of the
// fleet costs connections, and one that takes small hosts or always the same ones falls behind.
#include "node/carrierchoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace sequoiapier {
namespace {

using Names = std::vector<std::string>;

std::vector<CarrierCandidate> fleet(int large, int small)
{
    std::vector<CarrierCandidate> hosts;
    hosts.reserve(std::size_t(large) + std::size_t(small));
    for (int i = 0; i < large; ++i)
        hosts.push_back({"large-" + std::to_string(i), 0.5});
    for (int i = 0; i < small; ++i)
        hosts.push_back({"small-" + std::to_string(i), 0.12});
    return hosts;
}

TEST(CarrierChoice, SmallFleetsNeedNone)
{
    EXPECT_EQ(carrierCount(0), 0U);
    EXPECT_EQ(carrierCount(49), 0U);
    EXPECT_GE(carrierCount(350), 2U);
    EXPECT_GT(carrierCount(540), carrierCount(350));
    EXPECT_EQ(carrierCount(11'000), carrierCount(5'000));
}

TEST(CarrierChoice, LargeHostsComeFirst)
{
    const std::vector<CarrierCandidate> hosts = fleet(2, 10);
    const Names names = chooseCarriers("owner", hosts, 3);
    ASSERT_EQ(names.size(), 3U);
    EXPECT_EQ(std::set<std::string>(names.begin(), names.begin() + 2),
              (std::set<std::string>{"large-0", "large-1"}));
    EXPECT_TRUE(names[2].starts_with("small-"));
    EXPECT_EQ(chooseCarriers("owner", fleet(1, 0), 3), Names{"large-0"});
    EXPECT_TRUE(chooseCarriers("owner", {}, 3).empty());
}

TEST(CarrierChoice, OwnersGetDifferentCarriers)
{
    std::set<std::string> chosen;
    for (const char *owner : {"a", "b", "c", "d"}) {
        for (const std::string &name : chooseCarriers(owner, fleet(20, 0), 3))
            chosen.insert(name);
    }
    EXPECT_GE(chosen.size(), 6U);
}

TEST(CarrierChoice, LossOfACarrierReplacesOnlyThatOne)
{
    std::vector<CarrierCandidate> hosts = fleet(10, 0);
    const Names before = chooseCarriers("owner", hosts, 4);
    std::erase_if(hosts, [&](const CarrierCandidate &host) { return host.name == before[1]; });
    const Names after = chooseCarriers("owner", hosts, 4);
    for (const std::string &name : before) {
        const bool isKept = std::find(after.begin(), after.end(), name) != after.end();
        EXPECT_EQ(isKept, name != before[1]);
    }
}

} // namespace
} // namespace sequoiapier
