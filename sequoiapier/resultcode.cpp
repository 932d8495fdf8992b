// The table is sorted by code, and resultInfo() does a binary search in it, O(log n).
#include "sequoiapier/resultcode.h"

#include <algorithm>
#include <array>

namespace sequoiapier {

namespace {

using enum ResultCode;

constexpr auto Table = std::to_array<ResultInfo>({
    {Ok, "ok", 200, RunState::Ran, "Success."},
    {InternalError, "internal-error", 500, RunState::Unknown, "A defect; see the log."},
    {InvalidSettings, "invalid-settings", 0, RunState::NotApplicable,
     "A flag or environment variable is unknown or out of range."},
    {ListenFailed, "listen-failed", 0, RunState::NotApplicable,
     "The listening address is in use or not local."},
    {ForcedExit, "forced-exit", 0, RunState::NotApplicable,
     "A second signal arrived during graceful shutdown."},
    {DrainTimeout, "drain-timeout", 0, RunState::NotApplicable,
     "Work was still running when the drain deadline passed."},
    {Unreachable, "unreachable", 0, RunState::NotApplicable, "The server did not answer."},
    {Usage, "usage", 0, RunState::NotApplicable, "The command line is not understood."},
    {KeyMissing, "key-missing", 401, RunState::NotRun, "A keyed queue was called without a key."},
    {KeyRejected, "key-rejected", 403, RunState::NotRun,
     "The key is unknown, withdrawn or of a team without access."},
    {QueueUnknown, "queue-unknown", 404, RunState::NotRun, "No such queue is configured."},
    {QueueFull, "queue-full", 429, RunState::NotRun, "The team's queue is at its bound."},
    {DeadlineTooClose, "deadline-too-close", 504, RunState::NotRun,
     "The request can't finish before its deadline."},
    {DeadlineExpired, "deadline-expired", 504, RunState::NotRun,
     "The deadline passed while the request was queued."},
    {TeamCeilingReached, "team-ceiling-reached", 429, RunState::NotRun,
     "The team runs as much as its ceiling allows."},
    {NoUpstream, "no-upstream", 503, RunState::NotRun, "No runner of the service takes work."},
    {OutcomeUnknown, "outcome-unknown", 504, RunState::Unknown,
     "The deadline passed after the request was sent."},
    {UpstreamLost, "upstream-lost", 502, RunState::Unknown,
     "The connection to the runner was lost after the request was sent."},
    {ShuttingDown, "shutting-down", 503, RunState::NotRun, "This gateway is draining."},
    {ConfigurationStale, "configuration-stale", 503, RunState::NotRun,
     "The gateway could not confirm its configuration for too long."},
    {DuplicateRequest, "duplicate-request", 409, RunState::Unknown,
     "A non-idempotent request with this identifier was already sent."},
    {RequestMalformed, "request-malformed", 400, RunState::NotRun, "A header or path is invalid."},
    {RequestTooLarge, "request-too-large", 413, RunState::NotRun,
     "The body, or the row that would keep the job, is longer than the bound."},
    {TooManyConnections, "too-many-connections", 503, RunState::NotRun,
     "The gateway's connection bound is reached."},
    {ResponseTooLarge, "response-too-large", 502, RunState::Unknown,
     "The runner's answer is longer than the bound."},
    {Overloaded, "overloaded", 503, RunState::NotRun, "Queueing delay is past its target."},
    {RetryBudgetEmpty, "retry-budget-empty", 502, RunState::Unknown,
     "The attempt failed and the retry budget is spent."},
    {Committed, "committed", 200, RunState::NotApplicable, "The change is in the table."},
    {Conflict, "conflict", 409, RunState::NotApplicable,
     "The base version is not the current one; nothing was written."},
    {NotCommitted, "not-committed", 503, RunState::NotApplicable,
     "The change is certainly not in the table."},
    {CommitUnknown, "commit-unknown", 504, RunState::NotApplicable,
     "The change may be in the table; ask again with the same operation identifier."},
    {ChangeInvalid, "change-invalid", 400, RunState::NotApplicable,
     "The change breaks a rule; the detail names it."},
    {NotFound, "not-found", 404, RunState::NotApplicable, "The named object does not exist."},
    {SchemaMismatch, "schema-mismatch", 400, RunState::NotApplicable,
     "The message does not follow the schema."},
    {TableUnavailable, "table-unavailable", 503, RunState::NotApplicable,
     "The table service refused or could not be reached."},
    {TableTimeout, "table-timeout", 504, RunState::NotApplicable,
     "The table service did not answer in time."},
    {RowMalformed, "row-malformed", 0, RunState::NotApplicable, "A table row can't be parsed."},
    {NotOwner, "not-owner", 0, RunState::NotApplicable, "The scheduler does not own the resource."},
    {EpochStale, "epoch-stale", 0, RunState::NotApplicable,
     "The message is of an earlier ownership epoch."},
    {LeaseExpired, "lease-expired", 0, RunState::NotApplicable, "The lease has lapsed."},
    {CapacityExceeded, "capacity-exceeded", 0, RunState::NotApplicable,
     "A memory or count bound is reached."},
    {BudgetExhausted, "budget-exhausted", 0, RunState::NotApplicable,
     "No unit of the budget is free."},
    {QueueMoved, "queue-moved", 0, RunState::NotApplicable,
     "Another pool accepts the queue's jobs, or may know the job."},
    {TaskServiceUnavailable, "task-service-unavailable", 0, RunState::NotApplicable,
     "The platform's task service did not answer."},
    {HostBusy, "host-busy", 409, RunState::NotApplicable, "Another operation holds the host."},
    {HostNotEmpty, "host-not-empty", 409, RunState::NotApplicable, "The host still runs work."},
    {WaveStopped, "wave-stopped", 0, RunState::NotApplicable, "The wave stopped by its rules."},
    {JobNeverFits, "job-never-fits", 0, RunState::NotApplicable,
     "No host could run the job even when empty."},
    {JobQuarantined, "job-quarantined", 0, RunState::NotApplicable,
     "The job failed too often on different hosts."},
    {JobWaiting, "job-waiting", 0, RunState::NotApplicable, "The job waits; the detail says why."},
    {JobOutcomeUnknown, "job-outcome-unknown", 0, RunState::NotApplicable,
     "The worker was lost; the job may have run in part and is not run again."},
    {JobFailed, "job-failed", 0, RunState::NotApplicable, "The job ran and failed."},
    {JobCancelled, "job-cancelled", 0, RunState::NotApplicable, "The job was cancelled."},
});

} // namespace

std::span<const ResultInfo> resultTable()
{
    return Table;
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto found = std::lower_bound(
        Table.begin(), Table.end(), code,
        [](const ResultInfo &info, ResultCode wanted) { return info.code < wanted; });
    if (found == Table.end() || found->code != code)
        return Table[1];
    return *found;
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    case RunState::NotApplicable:
        break;
    }
    return "n/a";
}

} // namespace sequoiapier
