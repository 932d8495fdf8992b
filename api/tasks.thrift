// The platform's task service as this project calls it: workers that run tasks under leases.
namespace cpp sequoiapier.api

struct TaskSize {
  1: double processors    // cores
  2: double memory        // GB
  3: double accelerators  // devices
}

// One run of a job. The service starts each at most once, however often and late it is asked.
struct TaskId {
  1: string job
  2: i64 attempt
}

struct TaskStart {
  1: TaskId id
  2: string worker
  3: TaskSize size
  4: i64 leaseMs  // the worker stops the task unless the lease is renewed in time
  5: string payload
}

enum TaskState {
  RUNNING = 1
  DONE = 2
  FAILED = 3
  STOPPED = 4    // stopped after it had started
  NEVER_RAN = 5  // stopped or refused before it had started; can't start any more
  LOST = 6       // the worker is gone and the lease has lapsed; how far the task came is not known
}

struct TaskReport {
  1: TaskId id
  2: string worker
  3: TaskState state
  4: optional TaskSize used  // lags
  5: bool isCheckpointed
}

struct WorkerReport {
  1: string name
  2: TaskSize capacity
  3: bool isLive
}

service TaskService {
  list<WorkerReport> workers()
  list<TaskReport> reports()  // without ended tasks that were acknowledged
  void start(1: list<TaskStart> tasks)
  void renew(1: list<TaskId> tasks, 2: i64 leaseMs)
  void checkpoint(1: list<TaskId> tasks)
  void stop(1: list<TaskId> tasks)  // one that is not known can't start any more
  void acknowledge(1: list<TaskId> tasks)
}
