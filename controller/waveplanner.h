// The next turn of a maintenance wave, as a pure function of the table's rows and what is known of
// the hosts.
//
//   WaveTurn turn = planWaveTurn({.wave = row, .version = v, .hosts = hosts, .budgets = rows},
//   now); if (!turn.writes.empty())
//       table.commit({.writeId = ..., .writes = turn.writes}, ...);
//
// A turn is one commit: hosts that go out, the budget units they take, units of hosts that are
// back, losses by accident and the wave's own state. Any controller may take any turn; of two that
// race, one gets a conflict and plans anew. Read the budget rows before the host rows. HostMover
// takes the hosts through their steps.
#pragma once

#include "controller/availabilitybudget.h"
#include "controller/waverow.h"

#include <span>

namespace sequoiapier {

struct WaveHost
{
    HostRow row;
    std::uint64_t version = 0;
    bool isLost = false; // known to have failed, or silent for longer than the operator accepts
    std::int64_t expectedOut = 300; // seconds from draining to serving again, an estimate
};

struct WaveView
{
    WaveRow wave;
    std::uint64_t version = 0;
    std::span<const WaveHost> hosts; // all hosts of the fleet, of the wave or not
    std::span<const VersionedBudgetRow> budgets;
};

struct WaveProgress
{
    std::size_t total = 0;
    std::size_t done = 0;
    std::size_t out = 0; // draining, under maintenance or joining
    std::size_t lost = 0; // by accident, and not done
    std::vector<std::string> overdue; // draining past their deadline
    std::vector<std::string> skipped;
    std::vector<std::string> waitsFor; // why no more hosts go out now
    std::int64_t expectedEnd = 0; // Unix time in seconds
    bool isLate = false; // expected to end after the wave's deadline
};

struct WaveTurn
{
    std::vector<RowWrite> writes; // empty: nothing changes now
    std::vector<std::string> started; // hosts that go out by these writes
    WaveRow next; // the wave after these writes
    WaveProgress progress;
};

// Hosts started or undone in one turn, which bounds the commit.
inline constexpr std::size_t MaxWaveChanges = 64;

// Cost O(n log n) in the hosts.
WaveTurn planWaveTurn(const WaveView &view, std::int64_t now);

} // namespace sequoiapier
