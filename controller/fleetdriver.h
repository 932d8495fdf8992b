// FleetDriver: periodically advances all hosts and waves, based on the state in the table.
//
//   FleetDriver driver({.table = table, .platform = hostClient.hooks(), ...}, options);
//   driver.tick(); // periodically, on every controller concurrently
//
// A tick reads the fleet's rows and the platform's list of live hosts, asks each host that is not
// serving for its report and advances it (HostMover), ticks each wave (WaveRunner), sets the
// budgets of pools to their configured limits and releases the budget units of finished moves.
// Waves are not ticked while the list is older than maxListAge, since lost hosts could not be
// detected. A serving host that has lost its admission is admitted again.
//
// After a step taken by this controller the next step follows immediately; a step taken by a host
// or by another controller is seen at the next tick.
//
// In memory it keeps the last list, the reports of hosts that are not serving and the average time
// that a host is out of service; all of it is read or estimated again after a restart.
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
        // The effective configuration; nullptr while it is not confirmed.
        std::function<const Configuration *()> configuration;
        std::function<void(std::string_view kind, Event)> report;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration callTimeout = std::chrono::seconds(1); // for one call of the table or the platform
        Duration maxListAge = std::chrono::seconds(10);
        // Initial estimate of the seconds that a host is out; refined as hosts come back.
        std::int64_t expectedOut = 300;
    };

    FleetDriver(Hooks hooks, Options options);

    void tick();

    // This controller's knowledge of the fleet that is not in the table.
    FleetKnowledge knowledge() const;

private:
    void onList(const Result<std::vector<HostListing>> &hosts);
    void onRows(const FleetRows &rows);
    void advanceHosts(const FleetRows &rows);
    void advance(const std::string &host);
    void readmit(const HostRow &host);
    void updateWaves(const FleetRows &rows);
    void tickWaves();
    void onWaveTick(const WaveTick &waveTick, bool isCommitted);
    void onHostChanged(const HostRow &host);
    void updateAverageOut(const FleetRows &rows);
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
    std::vector<std::string> m_activeWaves; // identifiers of waves to tick, as of the last tick
    std::map<std::string, std::int64_t> m_outSince; // Unix time, by host under maintenance
    std::map<std::string, std::uint64_t> m_reportedOverdue; // startedAt of its wave, by host
    HostMover m_mover;
    WaveRunner m_runner;
};

} // namespace sequoiapier
