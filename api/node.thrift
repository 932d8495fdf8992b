// NodeService: calls between the nodes of the system about jobs and hosts, as Thrift messages over
// HTTP POST to /node. A call may be lost, repeated or delayed, so every method is idempotent.
namespace cpp sequoiapier.api

enum JobVerb {
  SUBMIT = 1
  STATE = 2
  CANCEL = 3
  WAITING = 4
  REPEAT = 5 // a submission that is answered only by a pool that knows the job
}

struct JobCall {
  1: JobVerb verb
  2: string pool
  3: string queue
  4: string job
  5: string team
  6: binary spec // set for SUBMIT, encoded by jobs/jobcodec.h
  7: i64 remainingMicroseconds
  8: string address // the queue's host and path prefix
  // For SUBMIT: all former pools that the reply with this version named don't know the job.
  9: i64 homeVersion
  10: bool areFormerPoolsEmpty // none of them has a job of the queue
}

struct JobReply {
  1: i32 code // a result code
  2: string state
  3: i64 waiting
  4: i64 retryAfterMilliseconds
  // Pools that may know jobs of the queue; for SUBMIT with the code queue-moved, and for WAITING.
  5: list<string> formerPools
  6: i64 homeVersion // with formerPools
  7: bool hasJobs // for REPEAT: the pool knows jobs of the queue
}

// Asks the owner of a pool to empty a runner because its host is to leave. The call stops new
// tasks on the runner for a short time only, so it is repeated until the host has left.
struct EvacuationCall {
  1: string pool
  2: string runner
}

struct EvacuationReply {
  1: i32 code
  2: bool isEmpty
}

struct DemandCall {
  1: string pool
}

struct DemandReply {
  1: i32 code
  2: i32 runners
  3: double needed // running and waiting work, in units of runners
  4: i32 lastingSpread // runners that lasting tasks need so that they run apart
  5: list<string> idle // runners without a running task
}

// Calls to runners that a pool's owner leaves to another node, the carrier. The reply comes once
// calls of the session are answered, once a newer request of the session arrives, or after a
// second. An answer that is lost with its reply is not sent again.
struct RunnerCall {
  1: i64 number // chosen by the owner; not used twice in a session
  2: string address
  3: i32 port
  4: string path
  5: list<string> headers // name and value in turn
  6: binary body
  7: i64 timeoutMicroseconds
}

struct RunnerAnswer {
  1: i64 number
  2: bool isSent // false if no byte of the call has left the carrier
  3: i32 status // 0 if there was no answer
  4: binary body
}

struct CarryCall {
  1: string session // names the owner's process
  2: list<RunnerCall> calls
}

struct CarryReply {
  1: list<RunnerAnswer> answers
  2: bool isLeaving // the carrier takes no new calls
}

service NodeService {
  JobReply job(1: JobCall call)
  EvacuationReply evacuate(1: EvacuationCall call)
  DemandReply demand(1: DemandCall call)
  CarryReply carry(1: CarryCall call)
}
