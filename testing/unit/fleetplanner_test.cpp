#include "fleet/fleetplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiapier {
namespace {

using std::chrono::seconds;

const TimePoint Now{std::chrono::hours(1)};

struct Fleet
{
    std::vector<FleetHost> hosts;
    std::map<std::string, FleetPool> pools;
    std::map<std::string, HostErrand> errands;

    void add(const std::string &pool, int count, bool isIdle)
    {
        FleetPool &added = pools[pool];
        added.isKnown = true;
        for (int i = 0; i < count; ++i) {
            const std::string name = pool + "-" + std::to_string(i);
            hosts.push_back(
                {.name = name, .pool = pool, .state = FleetHostState::Up, .runner = "i-" + name});
            ++added.runners;
            if (isIdle)
                added.idle.insert("i-" + name);
        }
    }
    FleetView view() const { return {.hosts = hosts, .pools = pools, .errands = errands}; }
    WaveState waveOfAll(std::uint32_t maxOut, Duration left) const
    {
        WaveState wave{.deadline = Now + left};
        wave.order.maxOut = maxOut;
        for (const FleetHost &host : hosts)
            wave.order.hosts.push_back(host.name);
        return wave;
    }
};

std::vector<HostErrand> maintenance(const Fleet &fleet, const WaveState &wave)
{
    return planMaintenance(fleet.view(), {{1, wave}}, {}, Now);
}

TEST(FleetPlanner, WaveIsSpreadOverItsTimeWithinItsBound)
{
    Fleet fleet;
    fleet.add("vanload", 20, false);
    EXPECT_LE(maintenance(fleet, fleet.waveOfAll(9, seconds(100))).size(), 2U);
    EXPECT_EQ(maintenance(fleet, fleet.waveOfAll(9, seconds(26))).size(), 5U); // a quarter
    EXPECT_EQ(maintenance(fleet, fleet.waveOfAll(3, seconds(6))).size(), 3U);
}

// Hosts that are off went first and took the time in which those in pools could have been emptied
// one after another: a wave was late by the last of them.
TEST(FleetPlanner, HostsInPoolsBeginAtOnceAndThoseThatAreOffFillTheBound)
{
    Fleet fleet;
    fleet.add("vanload", 8, false);
    fleet.add("roundsman", 4, true);
    fleet.add("sundries", 20, true);
    fleet.pools["sundries"].isStandby = true;
    const std::vector<HostErrand> next = maintenance(fleet, fleet.waveOfAll(9, seconds(40)));
    const auto from = [&](std::string_view pool) {
        return std::count_if(next.begin(), next.end(), [&](const HostErrand &errand) {
            return errand.host.starts_with(pool);
        });
    };
    EXPECT_EQ(from("roundsman"), 1); // idle ones before busy ones, a quarter of a pool
    EXPECT_EQ(from("vanload"), 2); // 1.6 times 12 hosts in 7 rounds are 3 in pools
    EXPECT_EQ(from("sundries"), 5); // a quarter stays out of reach of a sudden need
    EXPECT_LE(next.size(), 9U);
}

// amb-works, a calm day: in the first seconds of its turn a pool of 15 hosts that needed 30 gave
// up 8.
TEST(FleetPlanner, PoolInItsTurnKeepsItsHostsUnlessTheWaveIsLate)
{
    Fleet fleet;
    fleet.add("vanload", 8, false);
    fleet.pools["vanload"].needed = 12;
    EXPECT_TRUE(maintenance(fleet, fleet.waveOfAll(9, seconds(40))).empty());
    EXPECT_FALSE(maintenance(fleet, fleet.waveOfAll(9, seconds(9))).empty());
    fleet.pools["vanload"].needed = 5;
    EXPECT_EQ(maintenance(fleet, fleet.waveOfAll(9, seconds(40))).size(), 2U);
}

TEST(FleetPlanner, HostsThatAreOffGoWithinTheBoundWithoutHurry)
{
    Fleet fleet;
    fleet.add("vanload", 8, false);
    fleet.add("sundries", 40, true);
    fleet.pools["sundries"].isStandby = true;
    const std::vector<HostErrand> next = maintenance(fleet, fleet.waveOfAll(9, seconds(1'000)));
    EXPECT_EQ(next.size(), 9U);
}

TEST(FleetPlanner, HostsThatAreDueStayOffOrGoOff)
{
    Fleet fleet;
    fleet.add("vanload", 4, false);
    fleet.add("roundsman", 6, true);
    fleet.add("sundries", 6, true);
    fleet.pools["sundries"].isStandby = true;
    fleet.pools["vanload"].needed = 6;
    FleetView view = fleet.view();
    view.due = {"roundsman-1", "roundsman-2", "sundries-0", "sundries-3"};
    const FleetWeights weights{.buffer = 1, .share = 40, .move = 0.1};
    bool movesAny = false;
    for (const HostErrand &errand : planMoves(view, weights, {})) {
        movesAny = true;
        const bool isIntoUse = errand.pool == "vanload";
        const bool isOff = errand.host.starts_with("sundries");
        EXPECT_FALSE(isOff && isIntoUse && view.due.contains(errand.host)) << errand.host;
    }
    EXPECT_TRUE(movesAny);
}

// csdrsa-pier, a hunt: the only runner that a lasting task could go to was being emptied of another
// task of its job, which could not be moved while the first one was out. 21 s without it.
TEST(FleetPlanner, TasksThatMustBeApartKeepARunnerToGoTo)
{
    Fleet fleet;
    fleet.add("vanload", 6, false);
    fleet.pools["vanload"].lastingSpread = 5;
    EXPECT_EQ(maintenance(fleet, fleet.waveOfAll(9, seconds(20))).size(), 1U);
    fleet.pools["vanload"].lastingSpread = 6;
    EXPECT_TRUE(maintenance(fleet, fleet.waveOfAll(9, seconds(20))).empty());
}

TEST(FleetPlanner, HostsGoToTheQueueWhoseTurnItIs)
{
    Fleet fleet;
    fleet.add("vanload", 4, false);
    fleet.add("roundsman", 6, true);
    fleet.add("sundries", 3, true);
    fleet.pools["sundries"].isStandby = true;
    fleet.pools["vanload"].needed = 9;
    const std::vector<HostErrand> moves
        = planMoves(fleet.view(), *findFleetProfile("association"), {});
    const auto toVanload = std::count_if(moves.begin(), moves.end(), [](const HostErrand &errand) {
        return errand.pool == "vanload";
    });
    EXPECT_GE(toVanload, 5);
    for (const HostErrand &errand : moves)
        EXPECT_FALSE(errand.host.starts_with("vanload"));
}

TEST(FleetPlanner, BusyHostsAndHostsOnErrandsStay)
{
    Fleet fleet;
    fleet.add("vanload", 4, false);
    fleet.add("roundsman", 6, false);
    fleet.pools["vanload"].needed = 9;
    EXPECT_TRUE(planMoves(fleet.view(), *findFleetProfile("association"), {}).empty());
    fleet.add("sundries", 1, true);
    fleet.pools["sundries"].isStandby = true;
    fleet.errands["sundries-0"] = {.host = "sundries-0", .wave = 1};
    EXPECT_TRUE(planMoves(fleet.view(), *findFleetProfile("association"), {}).empty());
}

} // namespace
} // namespace sequoiapier
