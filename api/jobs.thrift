// JobService: the calls of teams, as Thrift messages over HTTP POST to /jobs on any controller.
// Every call carries the team's key.
namespace cpp sequoiapier.api

struct JobRequest {
  1: string id  // chosen by the team and never reused; a repeated id gets the first outcome
  2: string pool
  3: string jobClass  // groups jobs with common traits, for estimates
  4: double processors    // in cores
  5: double memory        // in GB
  6: double accelerators  // in devices
  7: i32 priority = 0     // 0 to 1000; the team's jobs with higher priority go first
  8: bool isUrgent = false
  9: bool isRerunnable = false  // may run again after a run failed or was lost
  10: bool hasCheckpoints = false
  11: string payload  // passed to the worker
}

struct JobAnswer {
  1: string id
  2: i32 code  // result code, see docs/RESULT_CODES.md
  3: string detail
}

struct JobStatus {
  1: string id
  2: i32 code  // 405 or 106: waiting; 0: placed, running or done; else why the job ended
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
  // Accepts at most 200 jobs per call. isNewId states that none of the identifiers was used before:
  // if the table can't be reached, the answer is then "not committed", otherwise "unknown".
  list<JobAnswer> submit(1: string key, 2: list<JobRequest> jobs, 3: bool isNewId)
  // Cancels at most 20,000 jobs of one pool per call.
  list<JobAnswer> cancel(1: string key, 2: string pool, 3: list<string> ids)
  JobStatus status(1: string key, 2: string id)
  // Returns the team's jobs in a pool that have not ended.
  JobList listJobs(1: string key, 2: string pool)
}
