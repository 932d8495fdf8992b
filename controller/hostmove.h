// The steps by which a host leaves its pool and comes back, as pure functions of its row.
//
//   Result<HostRow> next = beginMove(row, "spare", "op-17", now + 600); // commit it
//   HostStep step = nextHostStep(row, observation, now);
//   if (step.action == HostAction::ChangeRow) ... // commit step.row by compare-and-set
//
// Drain, confirm empty, change the row, admit. Any controller takes the next step from the row
// alone, so that a move survives the death of the controller that began it at every step. Commands
// are idempotent and are repeated until the host's report shows their effect.
#pragma once

#include "controller/hostrow.h"

namespace sequoiapier {

// What is known of a host now. A missing report or an entry of the live list proves nothing.
struct HostObservation
{
    // No work starts under this epoch or a lower one any more: acknowledged by the host, or every
    // lease that was granted under it has lapsed.
    std::uint64_t fencedEpoch = 0;
    // Tasks running, counted after the fence; unknown counts as 1.
    std::uint32_t running = 1;
    // The epoch under which the host takes work of its pool, 0 if it takes none.
    std::uint64_t admittedEpoch = 0;
    // Maintenance commanded under this epoch is finished.
    std::uint64_t maintainedEpoch = 0;
};

enum class HostAction : std::uint8_t {
    None, // serving, nothing to do
    Drain, // command the host to stop taking work, under the row's epoch
    Maintain, // command the maintenance, under the row's epoch
    Admit, // command the host to take work of its pool, under the row's epoch
    ChangeRow, // commit `row` over the row that was read
};

struct HostStep
{
    HostAction action = HostAction::None;
    HostRow row; // the next row with ChangeRow, otherwise the row as given
};

// Whether the host is draining past its deadline at Unix time `now`. Both times are rounded down to
// seconds, so a host is overdue only once the whole second of its deadline has passed.
bool isDrainOverdue(const HostRow &row, std::int64_t now);

// The next step. Times are Unix times in seconds. O(1).
HostStep nextHostStep(const HostRow &row, const HostObservation &seen, std::int64_t now);

// The row that starts a move to `targetPool`. HostBusy unless the host is serving; ChangeInvalid
// for a move to its own pool or without a pool.
Result<HostRow> beginMove(const HostRow &row, std::string_view targetPool,
                          std::string_view operationId, std::int64_t drainDeadline);

// The row that takes the host out for maintenance. HostBusy unless the host is serving.
Result<HostRow> beginMaintenance(const HostRow &row, std::string_view waveId,
                                 std::int64_t drainDeadline);

// The row that sends a draining host back to its pool. HostBusy in any other state: past the
// draining, a move is undone by another move.
Result<HostRow> undoDrain(const HostRow &row);

} // namespace sequoiapier
