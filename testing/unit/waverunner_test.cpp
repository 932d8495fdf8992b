#include "controller/hostmover.h"
#include "controller/waverunner.h"
#include "testing/support/faketable.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

// Two controllers, each with a WaveRunner and a HostMover, over hosts that obey immediately.
struct RunnerFleet
{
    VirtualTime time;
    FakeTable table{time};
    std::vector<std::unique_ptr<WaveRunner>> runners;
    std::vector<std::unique_ptr<HostMover>> movers;
    std::map<std::string, int> maintenance; // number of commands, by host and epoch
    WaveTick last;
    std::int64_t wallSeconds = 1'000;

    RunnerFleet()
    {
        for (int i = 0; i < 8; ++i) {
            const HostRow row{.host = "h" + std::to_string(i),
                              .rack = "r" + std::to_string(i / 4),
                              .zone = "a",
                              .pool = "p"};
            put(hostKey(row.host), toJson(row));
            for (const std::string &domain : domainsOf(row)) {
                if (table.rows().read(budgetKey(domain)).empty())
                    put(budgetKey(domain), toJson(BudgetRow{.domain = domain, .limit = 2}));
            }
        }
        const WaveRow wave{.id = "w", .pools = {"p"}, .startedAt = wallSeconds, .maxOut = 4};
        put(waveKey("w"), toJson(wave));
        for (const std::string process : {"c0", "c1"})
            addController(process);
    }

    void put(const std::string &key, const std::string &value)
    {
        table.rows().commit({{key, value, 0}});
    }

    void addController(const std::string &process)
    {
        const auto recordMaintenance = [this](const HostRow &row) {
            ++maintenance[row.host + "/" + std::to_string(row.epoch)];
        };
        const auto ignore = [](const HostRow &) {};
        runners.push_back(std::make_unique<WaveRunner>(
            table.hooks(process),
            WaveRunner::Hooks{.isLost = [](const HostRow &) { return false; },
                              .expectedOut = [](const HostRow &) { return std::int64_t(60); },
                              .ticked = [this](const WaveTick &tick, bool) { last = tick; }},
            WaveRunner::Options{.process = process}));
        movers.push_back(std::make_unique<HostMover>(
            table.hooks(process),
            HostMover::Hooks{.observe =
                                 [this](const HostRow &row) {
                                     const std::string key
                                         = row.host + "/" + std::to_string(row.epoch);
                                     return HostObservation{row.epoch, 0, row.epoch,
                                                            maintenance.contains(key) ? row.epoch
                                                                                      : 0};
                                 },
                             .drain = ignore,
                             .maintain = recordMaintenance,
                             .admit = ignore,
                             .changed = ignore},
            HostMover::Options{.process = process}));
    }

    void round()
    {
        for (const auto &runner : runners)
            runner->tick("w", time.now(), wallSeconds);
        for (const auto &mover : movers) {
            for (int i = 0; i < 8; ++i)
                mover->advance("h" + std::to_string(i), time.now(), wallSeconds);
        }
        time.runUntil(time.now() + 3s);
        wallSeconds += 3;
    }
};

TEST(WaveRunner, TwoControllersEndAWaveThroughLostAnswersAndAnOutage)
{
    RunnerFleet fleet;
    for (int i = 0; i < 60; ++i) {
        if (i % 5 == 0)
            fleet.table.loseNextAnswers(2);
        fleet.table.setOutage(i >= 10 && i < 14);
        fleet.round();
        for (const TableRow &row : fleet.table.rows().scan(std::string(BudgetKeyPrefix)))
            ASSERT_LE(parseBudgetRow(row.value).value().units.size(), 2U) << row.key;
    }
    const TableRow wave = fleet.table.rows().read(waveKey("w")).front();
    EXPECT_EQ(parseWaveRow(wave.value).value().state, WaveState::Finished);
    EXPECT_EQ(fleet.maintenance.size(), 8U) << "each host is maintained once";
    EXPECT_EQ(fleet.last.progress.done, 8U);
}

TEST(WaveRunner, ARowThatCannotBeParsedStartsNothing)
{
    RunnerFleet fleet;
    fleet.put(budgetKey("zone/b"), "{}");
    fleet.round();
    EXPECT_TRUE(fleet.last.started.empty());
    EXPECT_EQ(fleet.table.commitCount(), 0U);
    EXPECT_TRUE(fleet.runners[0]->tick("w", fleet.time.now(), fleet.wallSeconds))
        << "the next may start";
    fleet.time.runUntil(fleet.time.now() + 3s);
}

} // namespace
} // namespace sequoiapier
