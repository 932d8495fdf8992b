// OperatorService: the calls of operators, as Thrift messages over HTTP POST to /operator on any
// controller.
namespace cpp sequoiapier.api

// Replaces the whole configuration. Every change names the version that it is based on and an
// operation identifier. A call repeated with the same identifier returns the first outcome.
struct ChangeRequest {
  1: string operationId
  2: i64 baseVersion
  3: string document  // the new configuration as JSON, see docs/OPERATIONS.md
  // States that the identifier was never used before. If the table can't be reached before the
  // write, the answer is then "not committed", otherwise "unknown", because an earlier call may
  // have written.
  4: bool isNewId = false
}

struct TeamEdit {
  1: string name
  2: i32 share
  3: i32 ceiling
}

struct KeyEdit {
  1: string digest  // lower-case hexadecimal SHA-256 of the key; the key itself is never sent
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

// One change of the configuration. A put adds the object or replaces all of it.
union Edit {
  1: TeamEdit putTeam
  2: string removeTeam
  3: KeyEdit grantKey
  4: string withdrawKey  // digest of the key
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
  1: i32 code          // 200 committed, 201 conflict, ...; see docs/RESULT_CODES.md
  2: string detail
  3: i64 version       // committed: the new version; conflict: the current one; 0: unknown
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
  3: i64 drainSeconds  // time allowed for the drain; a host that exceeds it is reported
}

struct BudgetEdit {
  1: string domain  // "rack/NAME" or "zone/NAME"; the limit of a pool is its maxUnavailable
  2: i32 limit      // maximum number of hosts out of service at once, by maintenance and by failure
}

struct WaveDeclaration {
  1: string id
  2: list<string> pools       // all hosts of these pools are maintained, and
  3: list<string> hosts       // these hosts as well
  4: i32 maxOut               // maximum number of hosts of this wave out of service at once
  5: i64 drainSeconds         // from the start of a host's drain to its deadline
  6: i64 deadlineSeconds = 0  // counted from the declaration; 0: none. Lateness is reported
  7: i64 periodSeconds = 0    // every host once per period; 0: once only
  8: bool stopsWhenOverdue = false     // stop at a host that does not drain, instead of skipping it
  9: bool resumesAfterRepair = false   // resume once the failed domain that stopped it is back
}

// One change of hosts, budgets or waves.
union FleetEdit {
  1: list<HostEntry> registerHosts
  2: HostMoveEdit moveHost
  3: string cancelDrain  // name of the host
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
  6: string targetPool    // pool that a draining host moves to
  7: string operationId   // the move or wave in progress on the host
  8: i64 epoch
  9: i64 drainDeadline    // Unix time in seconds, 0 while serving
  10: i64 maintainedAt    // Unix time in seconds, 0 if never
  11: bool isLost         // absent from the platform's list of live hosts, or leaving
  12: string waitsFor     // why the host is not serving; empty while it serves
}

struct DomainUnit {
  1: string host
  2: string holder  // wave that took the host out; empty if the host was lost by failure
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
  10: i64 startedAt      // this and the next two: Unix time in seconds
  11: i64 expectedEnd
  12: i64 deadline       // 0 if none
  13: bool isLate
  14: list<string> waitsFor  // reasons why hosts wait; empty if none waits
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
