// The state machine of moves and maintenance of a host, as pure functions of its row.
//
//   Result<HostRow> next = beginMove(row, "spare", "op-17", now + 600); // commit it
//   HostStep step = nextHostStep(row, observation, now);
//   if (step.action == HostAction::ChangeRow) ... // commit step.row by compare-and-set
//
// The steps are: drain the host, confirm that it is empty, change the row, admit the host. Any
// controller can take the next step from the row alone, so that an operation continues if the
// controller that began it crashes at any step. Commands are idempotent and are repeated until the
// host's report shows their effect.
#pragma once

#include "controller/hostrow.h"

namespace sequoiapier {

// The last report of a host. The default values stand for a missing report, which proves nothing;
// neither does an entry in the list of live hosts.
struct HostObservation
{
    // No work starts under this epoch or a lower one any more: the host has acknowledged it, or all
    // leases granted under these epochs have expired.
    std::uint64_t fencedEpoch = 0;
    // Number of running tasks, counted after the fence; 1 if unknown.
    std::uint32_t running = 1;
    // The epoch under which the host accepts work of its pool; 0 if it accepts none.
    std::uint64_t admittedEpoch = 0;
    // The maintenance that was commanded under this epoch is finished.
    std::uint64_t maintainedEpoch = 0;
};

enum class HostAction : std::uint8_t {
    None, // the host is serving; there is nothing to do
    Drain, // command the host to stop accepting work, under the row's epoch
    Maintain, // command the maintenance, under the row's epoch
    Admit, // command the host to accept work of its pool, under the row's epoch
    ChangeRow, // commit HostStep::row by compare-and-set
};

struct HostStep
{
    HostAction action = HostAction::None;
    HostRow row; // the new row for ChangeRow, otherwise the given row
};

// Whether the host is still draining after its deadline; `now` is Unix time in seconds. Both times
// are rounded down to seconds, so a host is overdue only once the whole second of its deadline has
// passed.
bool isDrainOverdue(const HostRow &row, std::int64_t now);

// The next step of a host. `now` is Unix time in seconds. O(1).
HostStep nextHostStep(const HostRow &row, const HostObservation &observation, std::int64_t now);

// The row that starts a move to `targetPool`. Fails with HostBusy unless the host is serving, and
// with ChangeInvalid if `targetPool` is empty or the host's own pool.
Result<HostRow> beginMove(const HostRow &row, std::string_view targetPool,
                          std::string_view operationId, std::int64_t drainDeadline);

// The row that starts the maintenance of a host. Fails with HostBusy unless the host is serving.
Result<HostRow> beginMaintenance(const HostRow &row, std::string_view waveId,
                                 std::int64_t drainDeadline);

// The row that returns a draining host to its pool. Fails with HostBusy in any other state: after
// the drain, a move can be reverted only by another move.
Result<HostRow> undoDrain(const HostRow &row);

} // namespace sequoiapier
