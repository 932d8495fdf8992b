// ResultCode: the numbered outcome of every operation, in answers, logs and exit statuses.
//
//   if (code != ResultCode::Ok)
//       log(resultInfo(code).name);
//
// The numbers are stable: codes are added but never renumbered. docs/RESULT_CODES.md lists them,
// and a test compares that page with resultTable(). Exit statuses are the codes below 100.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace sequoiapier {

enum class ResultCode : std::uint16_t {
    // 0-99: outcomes of processes, which are also exit statuses.
    Ok = 0,
    InternalError = 1,
    InvalidSettings = 2,
    ListenFailed = 3,
    ForcedExit = 4,
    DrainTimeout = 5,
    Unreachable = 6,
    Usage = 7,

    // 100-199: outcomes of callers' requests.
    KeyMissing = 100,
    KeyRejected = 101,
    QueueUnknown = 102,
    QueueFull = 103,
    DeadlineTooClose = 104,
    DeadlineExpired = 105,
    TeamCeilingReached = 106,
    NoUpstream = 107,
    OutcomeUnknown = 108,
    UpstreamLost = 109,
    ShuttingDown = 110,
    ConfigurationStale = 111,
    DuplicateRequest = 112,
    RequestMalformed = 113,
    RequestTooLarge = 114,
    TooManyConnections = 115,
    ResponseTooLarge = 116,
    Overloaded = 117,
    RetryBudgetEmpty = 118,

    // 200-299: outcomes of operators' changes.
    Committed = 200,
    Conflict = 201,
    NotCommitted = 202,
    CommitUnknown = 203,
    ChangeInvalid = 204,
    NotFound = 205,
    SchemaMismatch = 206,

    // 300-399: outcomes of calls to the platform and of coordination between processes.
    TableUnavailable = 300,
    TableTimeout = 301,
    RowMalformed = 302,
    NotOwner = 303,
    EpochStale = 304,
    LeaseExpired = 305,
    CapacityExceeded = 306,
    BudgetExhausted = 307,
    QueueMoved = 308,
    TaskServiceUnavailable = 320,

    // 400-499: outcomes of operations on hosts, waves and jobs.
    HostBusy = 400,
    HostNotEmpty = 401,
    WaveStopped = 402,
    JobNeverFits = 403,
    JobQuarantined = 404,
    JobWaiting = 405,
    JobOutcomeUnknown = 420,
    JobFailed = 421,
    JobCancelled = 422,
};

// Whether the work of a caller's request may have run, for the caller's decision to retry.
enum class RunState : std::uint8_t {
    NotRun, // the work certainly did not run
    Unknown, // the work may have run
    Ran, // the work ran and was answered
    NotApplicable, // the code is not about a caller's request
};

struct ResultInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus; // 0 if the code is never sent as an HTTP answer
    RunState runState;
    std::string_view meaning;
};

// The entries of all codes, in ascending order of code.
std::span<const ResultInfo> resultTable();

// The entry of `code`, or that of InternalError if `code` is not in the table.
const ResultInfo &resultInfo(ResultCode code);

// The text of `state` that is sent to callers: "not-run", "unknown", "ran" or "n/a".
std::string_view toString(RunState state);

} // namespace sequoiapier
