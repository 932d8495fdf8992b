// NodeService: calls between the nodes of the system about jobs and hosts, as Thrift messages over
// HTTP POST to /node. A call may be lost, repeated or delayed, so every method is idempotent.
namespace cpp sequoiapier.api

enum JobVerb {
  SUBMIT = 1
  STATE = 2
  CANCEL = 3
  WAITING = 4
}

struct JobCall {
  1: JobVerb verb
  2: string pool
  3: string queue
  4: string job
  5: string team
  6: binary spec // set for SUBMIT, encoded by jobs/jobcodec.h
  7: i64 remainingMicroseconds
}

struct JobReply {
  1: i32 code // a result code
  2: string state
  3: i64 waiting
  4: i64 retryAfterMilliseconds
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

service NodeService {
  JobReply job(1: JobCall call)
  EvacuationReply evacuate(1: EvacuationCall call)
  DemandReply demand(1: DemandCall call)
}
