// Plans the next tick of a maintenance wave, as a pure function of the table's rows and the
// controller's knowledge of the hosts.
//
//   WaveTick tick
//       = planWaveTick({.wave = row, .version = v, .hosts = hosts, .budgets = rows}, now);
//   if (!tick.writes.empty())
//       table.commit({.writeId = ..., .writes = tick.writes}, ...);
//
// A tick is one commit that contains the hosts to take out of service, the budget units that they
// acquire, the units released by hosts that serve again, accidental losses and the state of the
// wave. Any controller may run any tick; if two race, one gets a conflict and plans again. Read the
// budget rows before the host rows. HostMover then advances the hosts.
#pragma once

#include "controller/availabilitybudget.h"
#include "controller/waverow.h"

#include <span>

namespace sequoiapier {

struct WaveHost
{
    HostRow row;
    std::uint64_t version = 0;
    bool isLost = false; // has failed, or has been silent for longer than the operator accepts
    std::int64_t expectedOut = 300; // estimated seconds from draining to serving again
};

struct WaveView
{
    WaveRow wave;
    std::uint64_t version = 0;
    std::span<const WaveHost> hosts; // all hosts of the fleet, including those outside the wave
    std::span<const VersionedBudgetRow> budgets;
};

struct WaveProgress
{
    std::size_t total = 0;
    std::size_t done = 0;
    std::size_t out = 0; // draining, under maintenance or joining
    std::size_t lost = 0; // lost by accident before their maintenance was done
    std::vector<std::string> overdue; // hosts still draining after their deadline
    std::vector<std::string> skipped;
    std::vector<std::string> waitsFor; // reasons why no more hosts are started now
    std::int64_t expectedEnd = 0; // Unix time in seconds
    bool isLate = false; // expectedEnd is after the wave's deadline
};

// The result of one tick.
struct WaveTick
{
    std::vector<RowWrite> writes; // empty if nothing changes now
    std::vector<std::string> started; // hosts that begin to drain with these writes
    WaveRow next; // the wave after these writes
    WaveProgress progress;
};

// Maximum number of host rows changed before a tick starts or undoes no more hosts; it bounds the
// size of the commit.
inline constexpr std::size_t MaxWaveChanges = 64;

// Plans one tick. `now` is Unix time in seconds. O(n log n) in the number of hosts.
WaveTick planWaveTick(const WaveView &view, std::int64_t now);

} // namespace sequoiapier
