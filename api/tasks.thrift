// The platform's task service that this project calls. Its workers run tasks under leases.
namespace cpp sequoiapier.api

struct TaskSize {
  1: double processors    // in cores
  2: double memory        // in GB
  3: double accelerators  // in devices
}

// Identifies one run of a job. The service starts each run at most once, however often and late it
// is asked to.
struct TaskId {
  1: string job
  2: i64 attempt
}

struct TaskStart {
  1: TaskId id
  2: string worker
  3: TaskSize size
  4: i64 leaseMs  // the worker stops the task when the lease is not renewed in time
  5: string payload
}

enum TaskState {
  RUNNING = 1
  DONE = 2
  FAILED = 3
  STOPPED = 4    // stopped after its start
  NEVER_RAN = 5  // stopped or refused before its start; can't start any more
  LOST = 6       // the worker is gone and the lease has expired; the task's progress is unknown
}

struct TaskReport {
  1: TaskId id
  2: string worker
  3: TaskState state
  4: optional TaskSize used  // reported with a lag
  5: bool isCheckpointed
}

struct WorkerReport {
  1: string name
  2: TaskSize capacity
  3: bool isLive
}

service TaskService {
  list<WorkerReport> workers()
  list<TaskReport> reports()  // omits ended tasks that were acknowledged
  void start(1: list<TaskStart> tasks)
  void renew(1: list<TaskId> tasks, 2: i64 leaseMs)
  void checkpoint(1: list<TaskId> tasks)
  void stop(1: list<TaskId> tasks)  // an unknown task can't start any more afterwards
  void acknowledge(1: list<TaskId> tasks)
}
