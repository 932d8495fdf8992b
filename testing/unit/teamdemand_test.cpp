// Tests what a pool tells of a team's demand to those who divide the team's ceiling among the
// pools.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr Duration Planned = milliseconds(200); // Time in which what can start has started.

class TeamDemand : public testing::Test
{
protected:
    // Submits a job whose tasks take `processors` cores each, and lets the pool plan.
    void submit(const std::string &id, std::uint32_t tasks, double processors, bool isGang = false)
    {
        jobs::StepSpec step{.count = tasks, .size = {.processors = processors, .memory = 1}};
        step.isGang = isGang;
        m_pool.submit(id, {.payload = R"({"runMs": 60000})", .steps = {step}});
        m_pool.run(Planned);
    }
    jobs::TeamDemand demand() const { return m_pool.engine().teamDemands().at("team"); }

    // The team may use 12 cores in all pools together. The pool's only runner has 8.
    mutable EnginePool m_pool{
        {.runners = 1,
         .teams = {{.name = "team", .share = 1'000, .resourceCeiling = {.processors = 12}}}}};
};

TEST_F(TeamDemand, NamesTheSmallestTaskThatWaitsOnlyForTheCeiling)
{
    m_pool.setCeiling(Resources{.processors = 2});
    submit("a", 2, 4);
    submit("b", 1, 3);
    EXPECT_EQ(demand().leastLimited.processors, 3);
    EXPECT_EQ(demand().limited.processors, 8); // All the room there is.
    EXPECT_EQ(demand().waiting.processors, 11);
}

TEST_F(TeamDemand, CountsAGangAsOneTask)
{
    m_pool.setCeiling(Resources{.processors = 2});
    submit("a", 3, 2, true);
    EXPECT_EQ(demand().leastLimited.processors, 6);
}

TEST_F(TeamDemand, TaskWithoutRoomWaitsForNoCeiling)
{
    m_pool.setCeiling(Resources{.processors = 6});
    submit("a", 1, 6);
    submit("b", 1, 4); // The runner has 2 cores left.
    EXPECT_EQ(demand().inUse.processors, 6);
    EXPECT_EQ(demand().leastLimited, Resources{});
    EXPECT_EQ(demand().limited.processors, 0);
    EXPECT_EQ(demand().waiting.processors, 4);
}

// Such a task can never start, so that a part of the ceiling kept for it would be kept for good.
TEST_F(TeamDemand, TaskAboveTheWholeCeilingAsksForNothing)
{
    m_pool.setCeiling(Resources{.processors = 2});
    submit("a", 1, 13);
    submit("b", 7, 2, true);
    EXPECT_EQ(demand().leastLimited, Resources{});
    EXPECT_EQ(demand().waiting.processors, 0);
}

} // namespace
} // namespace sequoiapier
