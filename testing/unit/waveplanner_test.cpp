#include "controller/hostmove.h"
#include "controller/waveplanner.h"
#include "testing/standin/memorytable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace sequoiapier {
namespace {

// 16 hosts in racks of four, two zones and two pools, over an in-memory table.
struct WaveFleet
{
    struct Pending
    {
        std::vector<WaveHost> hosts;
        std::vector<VersionedBudgetRow> budgets;
        WaveTick tick;
    };

    MemoryTable table;
    std::int64_t now = 1'000;
    std::set<std::string> lost;
    std::set<std::string> stuck; // hosts that never drain
    std::int64_t expectedOut = 100;
    std::string invariantViolation;

    WaveFleet()
    {
        for (int i = 0; i < 16; ++i) {
            const HostRow row{.host = "h" + std::to_string(10 + i),
                              .rack = "r" + std::to_string(i / 4),
                              .zone = i < 8 ? "a" : "b",
                              .pool = i % 2 == 0 ? "p" : "q"};
            put(hostKey(row.host), toJson(row));
            for (const std::string &domain : domainsOf(row)) {
                const std::uint32_t limit = domain.starts_with("rack/") ? 2 : 3;
                if (table.read(budgetKey(domain)).empty())
                    put(budgetKey(domain), toJson(BudgetRow{.domain = domain, .limit = limit}));
            }
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        const auto rows = table.read(key);
        table.commit({{key, value, rows.empty() ? 0 : rows.front().version}});
    }
    void addWave(const WaveRow &wave) { put(waveKey(wave.id), toJson(wave)); }
    WaveRow wave(const std::string &id)
    {
        return parseWaveRow(table.read(waveKey(id)).front().value).value();
    }
    std::vector<WaveHost> hosts()
    {
        std::vector<WaveHost> hosts;
        for (const TableRow &row : table.scan(std::string(HostKeyPrefix))) {
            const HostRow host = parseHostRow(row.value).value();
            hosts.push_back({host, row.version, lost.contains(host.host), expectedOut});
        }
        return hosts;
    }
    std::vector<VersionedBudgetRow> budgets()
    {
        std::vector<VersionedBudgetRow> rows;
        for (const TableRow &row : table.scan(std::string(BudgetKeyPrefix)))
            rows.push_back({parseBudgetRow(row.value).value(), row.version});
        return rows;
    }

    Pending plan(const std::string &id)
    {
        Pending pending{.hosts = {}, .budgets = budgets()};
        pending.hosts = hosts();
        const TableRow row = table.read(waveKey(id)).front();
        pending.tick = planWaveTick({.wave = parseWaveRow(row.value).value(),
                                     .version = row.version,
                                     .hosts = pending.hosts,
                                     .budgets = pending.budgets},
                                    now);
        return pending;
    }

    bool commit(const WaveTick &tick)
    {
        if (tick.writes.empty() || table.commit(tick.writes).outcome != CommitOutcome::Committed)
            return false;
        if (!tick.started.empty())
            checkBudgets(tick.started);
        return true;
    }
    WaveTick tick(const std::string &id)
    {
        WaveTick tick = plan(id).tick;
        commit(tick);
        return tick;
    }

    // Advances every live host by one step.
    void stepHosts()
    {
        now += 50;
        for (const WaveHost &host : hosts()) {
            const HostRow &row = host.row;
            if (host.isLost)
                continue;
            const HostObservation seen{.fencedEpoch = row.epoch,
                                       .running = stuck.contains(row.host) ? 1U : 0U,
                                       .admittedEpoch = row.epoch,
                                       .maintainedEpoch = row.epoch};
            const HostStep step = nextHostStep(row, seen, now);
            if (step.action == HostAction::ChangeRow)
                put(hostKey(row.host), toJson(step.row));
        }
    }

    // Checks the budgets against the host rows: no domain of a host that was just started exceeds
    // its limit, counting planned and accidental losses, and every host under maintenance holds
    // a unit in each of its domains.
    void checkBudgets(const std::vector<std::string> &started)
    {
        std::map<std::string, std::set<std::string>> planned;
        std::set<std::string> startedDomains;
        for (const WaveHost &host : hosts()) {
            const bool isStarted
                = std::find(started.begin(), started.end(), host.row.host) != started.end();
            for (const std::string &domain : domainsOf(host.row)) {
                if (host.row.purpose == HostPurpose::Maintenance)
                    planned[domain].insert(host.row.host);
                if (isStarted)
                    startedDomains.insert(domain);
            }
        }
        for (const VersionedBudgetRow &budget : budgets()) {
            std::set<std::string> units;
            for (const BudgetUnit &unit : budget.row.units)
                units.insert(unit.host);
            const std::set<std::string> &out = planned[budget.row.domain];
            const bool holdsAllUnits
                = std::includes(units.begin(), units.end(), out.begin(), out.end());
            const bool isOverLimit = units.size() > budget.row.limit;
            if (!holdsAllUnits || (isOverLimit && startedDomains.contains(budget.row.domain)))
                invariantViolation = budget.row.domain;
        }
    }

    bool runToEnd(const std::string &id, int rounds = 200)
    {
        for (int i = 0; i < rounds && wave(id).state != WaveState::Finished; ++i) {
            tick(id);
            stepHosts();
        }
        return wave(id).state == WaveState::Finished;
    }
};

WaveRow waveOf(const std::string &id, std::vector<std::string> pools)
{
    return {.id = id, .pools = std::move(pools), .startedAt = 1'000, .maxOut = 4};
}

TEST(WavePlanner, MaintainsEveryHostOnceAndGivesAllUnitsBack)
{
    WaveFleet fleet;
    fleet.addWave(waveOf("w", {"p", "q"}));
    ASSERT_TRUE(fleet.runToEnd("w"));
    for (const WaveHost &host : fleet.hosts())
        EXPECT_GE(host.row.maintainedAt, 1'000) << host.row.host;
    for (const VersionedBudgetRow &budget : fleet.budgets())
        EXPECT_TRUE(budget.row.units.empty()) << budget.row.domain;
    EXPECT_EQ(fleet.plan("w").tick.progress.done, 16U);
}

TEST(WavePlanner, HostsThatAreExpectedBackAtOnceStillCountAsLeft)
{
    WaveFleet fleet;
    fleet.expectedOut = 0;
    for (const VersionedBudgetRow &budget : fleet.budgets()) {
        BudgetRow full = budget.row;
        full.limit = 0;
        fleet.put(budgetKey(full.domain), toJson(full));
    }
    fleet.addWave(waveOf("w", {"p"}));
    fleet.tick("w");
    EXPECT_EQ(fleet.wave("w").state, WaveState::Running);
}

TEST(WavePlanner, StopsWhenARackFailsAndGoesOnWhenItIsBack)
{
    WaveFleet fleet;
    WaveRow wave = waveOf("w", {"p"});
    wave.resumesAfterRepair = true;
    fleet.addWave(wave);
    fleet.tick("w");
    fleet.lost = {"h14", "h15", "h16", "h17"};
    fleet.tick("w");
    EXPECT_EQ(fleet.wave("w").state, WaveState::Stopped);
    EXPECT_EQ(fleet.wave("w").stopReason, "rack/r1 has failed");
    EXPECT_TRUE(fleet.tick("w").started.empty());
    fleet.lost.clear();
    EXPECT_TRUE(fleet.runToEnd("w"));
}

TEST(WavePlanner, AHostThatDoesNotDrainIsSkippedOrStopsTheWave)
{
    for (const OverduePolicy policy : {OverduePolicy::Skip, OverduePolicy::Stop}) {
        WaveFleet fleet;
        fleet.stuck = {"h12"};
        WaveRow wave = waveOf("w", {"p"});
        wave.overduePolicy = policy;
        wave.drainTimeout = 200;
        fleet.addWave(wave);
        const bool isFinished = fleet.runToEnd("w");
        EXPECT_EQ(isFinished, policy == OverduePolicy::Skip);
        const WaveTick last = fleet.plan("w").tick;
        if (policy == OverduePolicy::Skip)
            EXPECT_EQ(last.progress.skipped, std::vector<std::string>{"h12"});
        else
            EXPECT_EQ(last.progress.overdue, std::vector<std::string>{"h12"});
    }
}

// A drain that begins at the end of a second may reach the next second within a millisecond; that
// must not count as a whole second of its timeout.
TEST(WavePlanner, AHostThatBeginsToDrainAtTheEndOfASecondHasItsWholeTime)
{
    WaveFleet fleet;
    WaveRow wave = waveOf("w", {"p"});
    wave.drainTimeout = 1;
    wave.overduePolicy = OverduePolicy::Stop;
    fleet.addWave(wave);
    const std::int64_t begin = fleet.now;
    ASSERT_FALSE(fleet.tick("w").started.empty());
    fleet.now = begin + 1;
    EXPECT_TRUE(fleet.plan("w").tick.progress.overdue.empty());
    fleet.now = begin + 2;
    EXPECT_FALSE(fleet.plan("w").tick.progress.overdue.empty());
}

TEST(WavePlanner, ACancelledWaveSendsDrainingHostsBack)
{
    WaveFleet fleet;
    fleet.addWave(waveOf("w", {"p", "q"}));
    ASSERT_FALSE(fleet.tick("w").started.empty());
    fleet.put(waveKey("w"), toJson(cancelWave(fleet.wave("w")).value()));
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(fleet.tick("w").started.empty());
        fleet.stepHosts();
    }
    for (const WaveHost &host : fleet.hosts()) {
        EXPECT_EQ(host.row.state, HostState::Serving);
        EXPECT_EQ(host.row.maintainedAt, 0);
    }
    EXPECT_FALSE(resumeWave(fleet.wave("w")));
}

TEST(WavePlanner, APeriodicWaveMaintainsEveryHostOncePerPeriod)
{
    WaveFleet fleet;
    WaveRow wave = waveOf("w", {"p", "q"});
    wave.period = 6'000;
    fleet.addWave(wave);
    std::int64_t oldest = 0;
    while (fleet.now < 30'000) {
        fleet.tick("w");
        fleet.stepHosts();
        for (const WaveHost &host : fleet.hosts()) {
            if (fleet.now > 8'000)
                oldest = std::max(oldest, fleet.now - host.row.maintainedAt);
        }
    }
    EXPECT_LE(oldest, wave.period);
    EXPECT_EQ(fleet.wave("w").state, WaveState::Running);
}

RC_GTEST_PROP(WavePlanner, TwoWavesAndTwoControllersNeverOverdrawABudget, ())
{
    WaveFleet fleet;
    fleet.addWave(waveOf("w0", {"p"}));
    fleet.addWave(waveOf("w1", {"p", "q"}));
    std::map<int, WaveTick> pending; // planned but not yet committed, by controller
    const auto script = *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 1 << 12));
    for (const int choice : script) {
        const std::string id = (choice & 1) != 0 ? "w1" : "w0";
        const int controller = (choice >> 1) & 1;
        const std::string host = "h" + std::to_string(10 + ((choice >> 6) & 15));
        switch ((choice >> 2) % 12) {
        case 0:
        case 1:
        case 2:
            pending[controller] = fleet.plan(id).tick;
            break;
        case 3:
        case 4:
        case 5:
            fleet.commit(pending[controller]);
            break;
        case 6:
            fleet.lost.insert(host);
            break;
        case 7:
            fleet.lost.erase(host);
            break;
        case 8:
            fleet.stuck = {host};
            break;
        case 9: {
            const WaveRow row = fleet.wave(id);
            const Result<WaveRow> next
                = row.state == WaveState::Running ? pauseWave(row) : resumeWave(row);
            if (next)
                fleet.put(waveKey(id), toJson(next.value()));
            break;
        }
        default:
            fleet.stepHosts();
            break;
        }
        RC_ASSERT(fleet.invariantViolation.empty());
    }
    fleet.lost.clear();
    fleet.stuck.clear();
    for (const std::string id : {"w0", "w1"}) {
        const Result<WaveRow> next = resumeWave(fleet.wave(id));
        if (next)
            fleet.put(waveKey(id), toJson(next.value()));
    }
    for (int i = 0; i < 100; ++i) {
        fleet.tick("w0");
        fleet.tick("w1");
        fleet.stepHosts();
    }
    RC_ASSERT(fleet.invariantViolation.empty());
    for (const VersionedBudgetRow &budget : fleet.budgets())
        RC_ASSERT(budget.row.units.empty());
}

} // namespace
} // namespace sequoiapier
