#include "jobs/queuehome.h"

#include <gtest/gtest.h>

namespace sequoiapier::jobs {
namespace {

using Pools = std::vector<std::string>;

TEST(QueueHome, FirstClaimNamesNoFormerPool)
{
    const QueueHome home = *claimed({}, "vanload", 3);
    EXPECT_EQ(home, (QueueHome{.pool = "vanload", .configuration = 3}));
    EXPECT_EQ(claimed(home, "vanload", 5), home);
}

TEST(QueueHome, EachPoolThatHadTheQueueIsNamedOnce)
{
    QueueHome home = *claimed({}, "vanload", 3);
    home = *claimed(home, "roundsman", 5);
    EXPECT_EQ(home.formerPools, Pools{"vanload"});
    home = *claimed(home, "depotline", 6);
    EXPECT_EQ(home.formerPools, (Pools{"vanload", "roundsman"}));
    home = *claimed(home, "vanload", 9);
    EXPECT_EQ(home.formerPools, (Pools{"roundsman", "depotline"}));
}

// An owner whose configuration is behind must not take the queue back.
TEST(QueueHome, OlderConfigurationClaimsNothing)
{
    const QueueHome home = *claimed({}, "vanload", 8);
    EXPECT_FALSE(claimed(home, "roundsman", 7));
    EXPECT_FALSE(claimed(home, "roundsman", 8));
    EXPECT_TRUE(claimed(home, "roundsman", 9));
}

TEST(QueueHome, RowIsReadAsItWasWritten)
{
    const QueueHome home{.pool = "a", .configuration = 7, .formerPools = {"b", "c"}};
    EXPECT_EQ(parseQueueHome(encodeQueueHome(home)).value(), home);
    for (const char *text : {"", "{}", "[]", "[\"a\"]", "[\"a\",1,2]", "[1,2,[]]"})
        EXPECT_FALSE(parseQueueHome(text)) << text;
}

} // namespace
} // namespace sequoiapier::jobs
