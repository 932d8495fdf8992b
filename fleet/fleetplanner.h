// Chooses the hosts that have their maintenance next and those that change their pool. The
// functions depend only on their arguments.
//
//   std::vector<HostOperation> next = planMaintenance(view, waves, options, now);
//   std::vector<HostOperation> moves = planMoves(view, weights, options);
//
// Designed for waves over half of the fleet in half a minute while each queue in rotation asks for
// five times its mean demand. Hosts in pools have to be emptied, so they go a few at a time, spread
// over the time until the deadline: idle hosts and pools with low demand first. Hosts that are off
// fill the rest of the wave's limit. Moves take hosts from the spare pool to the pools that need
// them and back; hosts that are due for maintenance stay in the spare pool or are moved there.
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
    // The pool's hosts are off and cost nothing.
    bool isStandby = false;
    // The pool's owner has reported its demand recently.
    bool isKnown = false;
    std::uint32_t runners = 0;
    double needed = 0; // runners needed for running and waiting work
    std::uint32_t lastingSpread = 0; // runners that lasting tasks need to run apart
    std::set<std::string> idle; // names of runners that run nothing
};

enum class HostOperationKind : std::uint8_t {
    Maintenance,
    Move,
};

// An operation on a host, which is emptied before the order is sent.
struct HostOperation
{
    std::string host;
    HostOperationKind kind = HostOperationKind::Maintenance;
    std::uint64_t wave = 0; // wave of a Maintenance operation
    std::string pool; // target pool of a Move
};

struct FleetView
{
    std::span<const FleetHost> hosts;
    const std::map<std::string, FleetPool> &pools;
    const std::map<std::string, HostOperation> &operations; // operations in progress by host name
    std::set<std::string> due = {}; // hosts whose maintenance has not begun
};

struct WaveState
{
    WaveOrder order;
    TimePoint deadline;
    std::set<std::string> begun; // hosts whose maintenance has begun
};

// Returns the hosts of the wave that are in the fleet and have not begun their maintenance.
std::vector<std::string> remainingHosts(const WaveState &wave, std::span<const FleetHost> hosts);

struct MaintenanceOptions
{
    Duration cycle = std::chrono::milliseconds(5'000); // time to empty a host and get it back
    // Hosts in pools go at this multiple of the rate that just meets the deadline.
    double rateFactor = 1.6;
    // Largest part of a pool's hosts with an operation in progress; at least one host may have one.
    double maxPoolFraction = 0.25;
};

// Returns the maintenance operations to begin now. Cost O(h log h) for each wave of h hosts.
std::vector<HostOperation> planMaintenance(const FleetView &view,
                                           const std::map<std::uint64_t, WaveState> &waves,
                                           const MaintenanceOptions &options, TimePoint now);

struct MoveOptions
{
    double stepSeconds = 0.5;
    std::size_t horizonSteps = 12;
    std::size_t moveSteps = 3; // 1.5 s
    std::size_t holdSteps = 6; // steps for which the current need is expected to last
    double reserve = 1; // runners that a pool keeps beyond its need
};

// Returns the moves to begin now, of hosts that run nothing. Costs as much as planHostTransfers().
std::vector<HostOperation> planMoves(const FleetView &view, const FleetWeights &weights,
                                     const MoveOptions &options);

} // namespace sequoiapier
