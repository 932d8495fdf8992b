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

struct HostEntry {
  1: string name
  2: string rack
  3: string zone
  4: string pool
}

struct HostMoveEdit {
  1: string host
  2: string pool
  3: i64 drainSeconds  // to the drain's deadline; past it the host is reported
}

struct BudgetEdit {
  1: string domain  // "rack/NAME" or "zone/NAME"; a pool's limit is its maxUnavailable
  2: i32 limit      // hosts out at once, planned and by accident
}

struct WaveDeclaration {
  1: string id
  2: list<string> pools       // all hosts of these pools, and
  3: list<string> hosts       // these hosts
  4: i32 maxOut               // hosts of this wave out at once
  5: i64 drainSeconds         // from the start of draining to its deadline
  6: i64 deadlineSeconds = 0  // from now; 0: none. Being late is reported
  7: i64 periodSeconds = 0    // 0: once; otherwise every host once in a period
  8: bool stopsWhenOverdue = false     // stop at a host that does not drain, instead of skipping it
  9: bool resumesAfterRepair = false   // go on when the failed domain that stopped it is back
}

// One change of hosts or waves.
union FleetEdit {
  1: list<HostEntry> registerHosts
  2: HostMoveEdit moveHost
  3: string cancelDrain  // host
  4: BudgetEdit setBudget
  5: WaveDeclaration declareWave
  6: string pauseWave
  7: string resumeWave
  8: string cancelWave
}

struct FleetRequest {
  1: string operationId
  2: FleetEdit edit
  3: bool isNewId = false  // as in ChangeRequest
}

struct HostStatus {
  1: string name
  2: string rack
  3: string zone
  4: string pool
  5: string state         // serving, draining, out, joining
  6: string targetPool    // of a move that drains
  7: string operationId   // the move or wave that holds the host
  8: i64 epoch
  9: i64 drainDeadline    // Unix time in seconds, 0 while serving
  10: i64 maintainedAt    // Unix time in seconds, 0 for never
  11: bool isLost         // not in the platform's live list, or leaving
  12: string waitsFor     // why it is not serving, empty while it serves
}

struct DomainUnit {
  1: string host
  2: string holder  // wave; empty for a loss by accident
}

struct DomainStatus {
  1: string domain  // "pool/NAME", "rack/NAME" or "zone/NAME"
  2: i32 limit
  3: i32 hosts
  4: list<DomainUnit> units
}

struct WaveStatus {
  1: string id
  2: string state        // running, paused, stopped, cancelled, finished
  3: string stopReason
  4: i32 total
  5: i32 done
  6: i32 hostsOut
  7: i32 lost
  8: list<string> overdue
  9: list<string> skipped
  10: i64 startedAt      // Unix times in seconds
  11: i64 expectedEnd
  12: i64 deadline       // 0: none
  13: bool isLate
  14: list<string> waitsFor  // reasons, empty if nothing waits
}

struct FleetAnswer {
  1: i32 code
  2: string detail
  3: list<HostStatus> hosts
  4: list<DomainStatus> domains
  5: list<WaveStatus> waves
}

service OperatorService {
  ConfigurationAnswer configuration()
  ChangeAnswer change(1: ChangeRequest request)
  ChangeAnswer edit(1: EditRequest request)
  ChangeAnswer changeFleet(1: FleetRequest request)
  FleetAnswer fleet()
}
