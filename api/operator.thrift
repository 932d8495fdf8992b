// What operators call, by Thrift over HTTP POST to /operator on any controller.
namespace cpp sequoiapier.api

// Every change states the version it was made from and an operation identifier. A call repeated
// with the same identifier returns the first outcome.
struct ChangeRequest {
  1: string operationId
  2: i64 baseVersion
  3: string document  // the new configuration, JSON as in docs/OPERATIONS.md
  // The identifier was never used before. A table that can't be reached before the write is then
  // answered "not committed"; else "unknown", since an earlier call may have written.
  4: bool isNewId = false
}

struct TeamEdit {
  1: string name
  2: i32 share
  3: i32 ceiling
}

struct KeyEdit {
  1: string digest  // lower-case hexadecimal SHA-256 of the key, which itself never travels
  2: string team
}

struct QueueEdit {
  1: string name
  2: string serviceName
  3: bool isOpen
  4: i32 maxQueued
}

struct PoolEdit {
  1: string name
  2: i32 maxUnavailable
}

struct RunnerEdit {
  1: string address
  2: i32 port
}

struct ServiceEdit {
  1: string name
  2: string pool
  3: i32 slotsPerRunner
  4: i32 connectionsPerRunner
  5: list<RunnerEdit> runners
}

// One small change. A put adds the object or replaces all of it.
union Edit {
  1: TeamEdit putTeam
  2: string removeTeam
  3: KeyEdit grantKey
  4: string withdrawKey  // digest
  5: QueueEdit putQueue
  6: string removeQueue
  7: PoolEdit putPool
  8: string removePool
  9: ServiceEdit putService
  10: string removeService
  11: i32 setMaxGateways
}

struct EditRequest {
  1: string operationId
  2: i64 baseVersion
  3: Edit edit
  4: bool isNewId = false  // as in ChangeRequest
}

struct ChangeAnswer {
  1: i32 code          // docs/RESULT_CODES.md: 200 committed, 201 conflict, ...
  2: string detail
  3: i64 version       // committed: of this change; conflict: the current one; 0 if not known
}

struct ConfigurationAnswer {
  1: i32 code
  2: string detail
  3: i64 version
  4: string document
}

service OperatorService {
  ConfigurationAnswer configuration()
  ChangeAnswer change(1: ChangeRequest request)
  ChangeAnswer edit(1: EditRequest request)
}
