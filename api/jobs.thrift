// What teams call, by Thrift over HTTP POST to /jobs on any controller. Every call carries the
// team's key.
namespace cpp sequoiapier.api

struct JobRequest {
  1: string id  // chosen by the team, unique for all time; a repeat finds the first outcome
  2: string pool
  3: string jobClass  // what its jobs have in common, for estimates
  4: double processors    // cores
  5: double memory        // GB
  6: double accelerators  // devices
  7: i32 priority = 0     // greater goes first within the team, 0 to 1000
  8: bool isUrgent = false
  9: bool isRerunnable = false  // may be run again when a run failed or was lost
  10: bool hasCheckpoints = false
  11: string payload  // passed to the worker
}

struct JobAnswer {
  1: string id
  2: i32 code  // docs/RESULT_CODES.md
  3: string detail
}

struct JobStatus {
  1: string id
  2: i32 code  // 405 and 106 wait, 0 placed, running or done; else why it ended
  3: string state
  4: string detail
  5: string worker
  6: i64 attempt
  7: string team
  8: string pool
}

struct JobList {
  1: i32 code
  2: string detail
  3: list<JobStatus> jobs
}

service JobService {
  // At most 200 jobs a call. isNewId: none of the identifiers was used before; a table that can't
  // be reached is then answered "not committed", else "unknown".
  list<JobAnswer> submit(1: string key, 2: list<JobRequest> jobs, 3: bool isNewId)
  // At most 20,000 jobs of one pool a call.
  list<JobAnswer> cancel(1: string key, 2: string pool, 3: list<string> ids)
  JobStatus status(1: string key, 2: string id)
  // The team's jobs of a pool that have not ended.
  JobList listJobs(1: string key, 2: string pool)
}
