// FleetDriver: takes hosts and waves through their next steps, on a timer, from the table alone.
//
//   FleetDriver driver({.table = table, .platform = hostClient.hooks(), ...}, options);
//   driver.tick(now, wallSeconds); // every interval, on every controller at once
//
// A tick reads the fleet's rows and the platform's list, asks each host that is not serving for its
// report, advances it (HostMover), takes a turn of each wave (WaveRunner) and sets budgets of pools
// to their configured limits. Units of moves that are over go back. Waves take no turn while the
// list is older than maxListAge, since a loss could not be seen. A serving host that has lost its
// admission is admitted again.
//
// The next step follows at once where this controller has taken the one before; what a host or
// another controller does is seen at the next tick.
//
// It keeps the last list, the reports of hosts that are not serving and the average time out; all
// of it is read or learned anew after a restart.
#pragma once

#include "controller/fleetrows.h"
#include "controller/fleetview.h"
#include "controller/hostmover.h"
#include "controller/waverunner.h"
#include "platform/hostplatform.h"
#include "sequoiapier/configuration.h"
#include "sequoiapier/event.h"
#include "sequoiapier/writeids.h"

namespace sequoiapier {

class FleetDriver
{
public:
    struct Hooks
    {
        Table table;
        HostPlatform platform;
        std::function<TimePoint()> now;
        std::function<std::int64_t()> wallSeconds; // Unix time
        // The configuration in force; nullptr while it is not confirmed.
        std::function<const Configuration *()> configuration;
        std::function<void(std::string_view kind, Event)> report;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration callTimeout = std::chrono::seconds(1); // of one call of table or platform
        Duration maxListAge = std::chrono::seconds(10);
        std::int64_t expectedOut = 300; // seconds that a host is out, until some have come back
    };

    FleetDriver(Hooks hooks, Options options);

    void tick();

    // What is known of the fleet besides its rows.
    FleetKnowledge knowledge() const;

private:
    void onList(const Result<std::vector<HostListing>> &hosts);
    void onRows(const FleetRows &rows);
    void advanceHosts(const FleetRows &rows);
    void advance(const std::string &host);
    void admitAgain(const HostRow &host);
    void turnWaves(const FleetRows &rows);
    void takeTurns();
    void onTurn(const WaveTurn &turn, bool isCommitted);
    void onChanged(const HostRow &host);
    void learnTimes(const FleetRows &rows);
    void setPoolLimits(const FleetRows &rows);
    void releaseUnits(const FleetRows &rows);
    void commit(std::vector<RowWrite> writes);
    void command(const HostRow &host, HostCommandKind kind);
    bool isListFresh() const;
    TimePoint deadline() const { return m_hooks.now() + m_options.callTimeout; }
    HostMover::Hooks moverHooks();
    WaveRunner::Hooks runnerHooks();

    Hooks m_hooks;
    Options m_options;
    FleetKnowledge m_knowledge;
    TimePoint m_listedAt{};
    bool m_isReading = false;
    WriteIds m_writeIds;
    std::vector<std::string> m_waves; // that need turns, as of the last tick
    std::map<std::string, std::int64_t> m_outSince; // Unix time, by host under maintenance
    std::map<std::string, std::uint64_t> m_overdue; // epoch reported, by host
    HostMover m_mover;
    WaveRunner m_runner;
};

} // namespace sequoiapier
