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

bool isEmpty(const HostRow &row, const HostObservation &observation)
{
    return observation.fencedEpoch >= row.epoch && observation.running == 0;
}

HostRow withState(const HostRow &row, HostState state)
{
    HostRow next = row;
    next.state = state;
    ++next.epoch;
    return next;
}

HostRow afterDrain(const HostRow &row)
{
    if (row.purpose == HostPurpose::Maintenance)
        return withState(row, HostState::Out);
    HostRow next = withState(row, HostState::Joining);
    next.pool = row.targetPool;
    next.targetPool.clear();
    return next;
}

HostRow afterMaintenance(const HostRow &row, std::int64_t now)
{
    HostRow next = withState(row, HostState::Joining);
    next.maintainedAt = now;
    return next;
}

// Keeps the epoch, since the host has been admitted under it.
HostRow afterAdmission(const HostRow &row)
{
    HostRow next = row;
    next.state = HostState::Serving;
    next.purpose = HostPurpose::None;
    next.operationId.clear();
    next.drainDeadline = 0;
    return next;
}

HostRow withDrainStarted(const HostRow &row, HostPurpose purpose, std::string_view operationId,
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

HostStep nextHostStep(const HostRow &row, const HostObservation &observation, std::int64_t now)
{
    switch (row.state) {
    case HostState::Serving:
        return {.action = HostAction::None, .row = row};
    case HostState::Draining:
        if (isEmpty(row, observation))
            return {.action = HostAction::ChangeRow, .row = afterDrain(row)};
        return {.action = HostAction::Drain, .row = row};
    case HostState::Out:
        if (observation.maintainedEpoch == row.epoch)
            return {.action = HostAction::ChangeRow, .row = afterMaintenance(row, now)};
        return {.action = HostAction::Maintain, .row = row};
    case HostState::Joining:
        if (observation.admittedEpoch == row.epoch)
            return {.action = HostAction::ChangeRow, .row = afterAdmission(row)};
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
    HostRow next = withDrainStarted(row, HostPurpose::Move, operationId, drainDeadline);
    next.targetPool = targetPool;
    return next;
}

Result<HostRow> beginMaintenance(const HostRow &row, std::string_view waveId,
                                 std::int64_t drainDeadline)
{
    if (row.state != HostState::Serving)
        return Error{ResultCode::HostBusy, row.host + " is held by " + row.operationId};
    return withDrainStarted(row, HostPurpose::Maintenance, waveId, drainDeadline);
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
