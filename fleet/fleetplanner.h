// Which hosts are to have their maintenance next, and which are to change their pool, as pure
// functions of the fleet.
//
//   std::vector<HostErrand> next = planMaintenance(view, waves, now);
//   std::vector<HostErrand> moves = planMoves(view, weights);
//
// Load that they answer: waves over half of the fleet in half a minute while every queue in turn
// asks for five times its mean. Hosts in pools have to be emptied and go a few at a time, idle ones
// and pools in a trough first, spread over the time that there is; hosts that are off fill the rest
// of the bound. Hosts go where the need is, out of the spare pool and back: those whose maintenance
// is due stay off or go there.
#pragma once

#include "fleet/fleethost.h"
#include "fleet/fleetweights.h"
#include "fleet/waveorder.h"
#include "sequoiapier/bootclock.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

struct FleetPool
{
    bool isStandby = false; // its hosts are off and cost nothing
    bool isKnown = false; // its owner has told of its demand lately
    std::uint32_t runners = 0;
    double needed = 0; // runners' worth of what runs and what waits
    std::uint32_t lastingSpread = 0;
    std::set<std::string> idle; // runners on which nothing runs
};

enum class ErrandKind : std::uint8_t {
    Maintenance,
    Move,
};

// What a host is to do next: it is emptied, then ordered.
struct HostErrand
{
    std::string host;
    ErrandKind kind = ErrandKind::Maintenance;
    std::uint64_t wave = 0; // of Maintenance
    std::string pool; // of Move: where it goes
};

struct FleetView
{
    std::span<const FleetHost> hosts;
    const std::map<std::string, FleetPool> &pools;
    const std::map<std::string, HostErrand> &errands; // under way, by host
    std::set<std::string> due = {}; // hosts whose maintenance has yet to begin
};

struct WaveState
{
    WaveOrder order;
    TimePoint deadline;
    std::set<std::string> begun; // hosts that have begun their maintenance
};

// Hosts of the wave that are in the fleet and have not begun.
std::vector<std::string> remainingHosts(const WaveState &wave, std::span<const FleetHost> hosts);

struct MaintenanceOptions
{
    Duration cycle = std::chrono::milliseconds(5'000); // to empty a host and have it back
    double haste = 1.6; // of hosts in pools, times the rate that would just be in time
    double maxPartOfPool = 0.25; // of a pool's hosts on errands at once, at least one
};

// Errands to begin now. O(h log h) a wave.
std::vector<HostErrand> planMaintenance(const FleetView &view,
                                        const std::map<std::uint64_t, WaveState> &waves,
                                        const MaintenanceOptions &options, TimePoint now);

struct MoveOptions
{
    double stepSeconds = 0.5;
    std::size_t horizonSteps = 12;
    std::size_t moveSteps = 3; // 1.5 s
    std::size_t holdSteps = 6; // that a need is expected to go on
    double reserve = 1; // runners that a pool keeps beyond what it needs
};

// Moves to begin now, of hosts on which nothing runs. The cost of planSpare().
std::vector<HostErrand> planMoves(const FleetView &view, const FleetWeights &weights,
                                  const MoveOptions &options);

} // namespace sequoiapier
