// Every state change up to the admission increments the epoch. A host counts as empty only if
// a report under the epoch of its draining row says so: reports under earlier epochs may have been
// made before the drain.
//
//   Serving -> Draining -> Joining (new pool) -> Serving          a move
//   Serving -> Draining -> Out -> Joining (same pool) -> Serving  maintenance
//              Draining -> Joining (same pool) -> Serving         cancelled drain
#include "controller/hostmove.h"

namespace sequoiapier {

namespace {

bool isEmpty(const HostRow &row, const HostObservation &seen)
{
    return seen.fencedEpoch >= row.epoch && seen.running == 0;
}

HostRow withState(const HostRow &row, HostState state)
{
    HostRow next = row;
    next.state = state;
    ++next.epoch;
    return next;
}

HostRow drained(const HostRow &row)
{
    if (row.purpose == HostPurpose::Maintenance)
        return withState(row, HostState::Out);
    HostRow next = withState(row, HostState::Joining);
    next.pool = row.targetPool;
    next.targetPool.clear();
    return next;
}

HostRow maintained(const HostRow &row, std::int64_t now)
{
    HostRow next = withState(row, HostState::Joining);
    next.maintainedAt = now;
    return next;
}

// Keeps the epoch, since the host has been admitted under it.
HostRow admitted(const HostRow &row)
{
    HostRow next = row;
    next.state = HostState::Serving;
    next.purpose = HostPurpose::None;
    next.operationId.clear();
    next.drainDeadline = 0;
    return next;
}

HostRow draining(const HostRow &row, HostPurpose purpose, std::string_view operationId,
                 std::int64_t deadline)
{
    HostRow next = withState(row, HostState::Draining);
    next.purpose = purpose;
    next.operationId = operationId;
    next.drainDeadline = deadline;
    return next;
}

} // namespace

bool isDrainOverdue(const HostRow &row, std::int64_t now)
{
    return row.state == HostState::Draining && now > row.drainDeadline;
}

HostStep nextHostStep(const HostRow &row, const HostObservation &seen, std::int64_t now)
{
    switch (row.state) {
    case HostState::Serving:
        return {.action = HostAction::None, .row = row};
    case HostState::Draining:
        if (isEmpty(row, seen))
            return {.action = HostAction::ChangeRow, .row = drained(row)};
        return {.action = HostAction::Drain, .row = row};
    case HostState::Out:
        if (seen.maintainedEpoch == row.epoch)
            return {.action = HostAction::ChangeRow, .row = maintained(row, now)};
        return {.action = HostAction::Maintain, .row = row};
    case HostState::Joining:
        if (seen.admittedEpoch == row.epoch)
            return {.action = HostAction::ChangeRow, .row = admitted(row)};
        return {.action = HostAction::Admit, .row = row};
    }
    return {.action = HostAction::None, .row = row};
}

Result<HostRow> beginMove(const HostRow &row, std::string_view targetPool,
                          std::string_view operationId, std::int64_t drainDeadline)
{
    if (row.state != HostState::Serving)
        return Error{ResultCode::HostBusy, row.host + " is held by " + row.operationId};
    if (targetPool.empty() || targetPool == row.pool)
        return Error{ResultCode::ChangeInvalid, row.host + " can't move to this pool"};
    HostRow next = draining(row, HostPurpose::Move, operationId, drainDeadline);
    next.targetPool = targetPool;
    return next;
}

Result<HostRow> beginMaintenance(const HostRow &row, std::string_view waveId,
                                 std::int64_t drainDeadline)
{
    if (row.state != HostState::Serving)
        return Error{ResultCode::HostBusy, row.host + " is held by " + row.operationId};
    return draining(row, HostPurpose::Maintenance, waveId, drainDeadline);
}

Result<HostRow> undoDrain(const HostRow &row)
{
    if (row.state != HostState::Draining)
        return Error{ResultCode::HostBusy, row.host + " is not draining"};
    HostRow next = withState(row, HostState::Joining);
    next.targetPool.clear();
    return next;
}

} // namespace sequoiapier
