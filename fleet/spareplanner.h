// Finds the moves of hosts between pools and the spare pool that serve the forecast need at the
// least cost.
//
//   SparePlan plan = planHostTransfers(input, *findFleetProfile("association"));
//   for (const HostTransfer &transfer : plan.now)
//       ... // begin moves of transfer.count hosts with HostMover
//
// Call it on a timer with the forecast of the next half minute or so; only the moves that have to
// start now are carried out. A move that does not pay for itself within the horizon is not made.
// This gives hysteresis: a host stays in its pool unless another pool's need is worth the price of
// a move.
#pragma once

#include "fleet/fleetweights.h"

#include <cstddef>
#include <vector>

namespace sequoiapier {

struct PoolForecast
{
    std::uint32_t hosts = 0; // hosts that serve the pool now
    std::vector<std::uint32_t> arriving; // hosts that arrive at each step from now
    // Hosts needed at each step from now; all pools have the same number of steps.
    std::vector<std::uint32_t> need;
    bool isStandby = false; // surplus hosts cost nothing in this pool
};

struct SpareInput
{
    std::vector<PoolForecast> pools;
    double stepSeconds = 0.5;
    std::size_t moveSteps = 4; // steps from the start of draining to serving in the new pool
};

struct HostTransfer
{
    std::size_t from = 0; // index of a pool in SpareInput::pools
    std::size_t to = 0;
    std::uint32_t count = 0;
};

struct SparePlan
{
    std::vector<HostTransfer> now; // moves to start at the first step
    // Totals over the whole horizon, if the forecast is correct:
    double bufferSeconds = 0; // host-seconds beyond need, including hosts in transit
    double shortSeconds = 0; // host-seconds of unmet need
    std::uint64_t moves = 0;

    double cost(const FleetWeights &weights) const
    {
        return weights.buffer * bufferSeconds + weights.share * shortSeconds
            + weights.move * double(moves);
    }
};

// Finds a plan of the least cost over the horizon. The worst case is O(p s h log(p s)) for p pools,
// s steps and h hosts.
SparePlan planHostTransfers(const SpareInput &input, const FleetWeights &weights);

} // namespace sequoiapier
