#include "cli/eventjson.h"
#include "sequoiapier/eventring.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

TEST(HybridClock, StaysAheadOfWhatItObserved)
{
    std::int64_t wall = 100;
    HybridClock clock([&] { return wall; });
    EXPECT_EQ(clock.tick(), (HybridTime{100, 0}));
    EXPECT_EQ(clock.tick(), (HybridTime{100, 1}));
    clock.observe({500, 7}); // from a process whose wall clock is ahead
    EXPECT_EQ(clock.tick(), (HybridTime{500, 8}));
    wall = 90; // the wall clock steps back
    EXPECT_EQ(clock.tick(), (HybridTime{500, 9}));
    wall = 600;
    EXPECT_EQ(clock.tick(), (HybridTime{600, 0}));
}

TEST(EventRing, DropsTheOldestAndCounts)
{
    EventRing ring({.process = "gateway-1", .zone = "zone-1", .maxEvents = 2}, [] { return 1; });
    for (const char *subject : {"a", "b", "c"})
        ring.add("test.added", {.subject = subject});
    ASSERT_EQ(ring.events().size(), 2U);
    EXPECT_EQ(ring.events().front().subject, "b");
    EXPECT_EQ(ring.events().back().process, "gateway-1");
    EXPECT_EQ(ring.droppedCount(), 1U);
}

TEST(EventRing, EventsRoundTripThroughJson)
{
    EventRing ring({.process = "p", .zone = "z"}, [] { return 5; });
    ring.add("lease.granted", {.subject = "slots/a \"quoted\"\n", .epoch = 3, .cause = "c"});
    const auto parsed = parseJsonLines(toJsonLines(ring.events()));
    ASSERT_TRUE(parsed);
    ASSERT_EQ(parsed.value().size(), 1U);
    EXPECT_EQ(toJsonLine(parsed.value().front()), toJsonLine(ring.events().front()));
    EXPECT_EQ(parsed.value().front().subject, "slots/a \"quoted\"\n");
}

TEST(EventRing, MalformedLineIsNamed)
{
    const auto parsed = parseJsonLines("{}\n");
    ASSERT_FALSE(parsed);
    EXPECT_NE(parsed.error().detail.find("line 1"), std::string::npos);
}

} // namespace
} // namespace sequoiapier
