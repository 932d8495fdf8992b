// Job: a job as its pool's owner holds it, and the row that keeps it in the platform's store.
//
// A task is named by the job, the occurrence, the step and its index in the step. Each start of it
// has a run number of its own, which only grows. The row holds what must outlive the owner: which
// tasks are done, how often each has failed, and where each run was ordered. It is written before
// an order is sent and before an end is acknowledged to the runner.
#pragma once

#include "jobs/jobspec.h"
#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

struct TaskName
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

// "5c0e7a21d94b36f8.0.1.17"
std::string toString(const TaskName &name);
// RowMalformed if `text` names no task.
Result<TaskName> parseTaskName(std::string_view text);
// The step of the occurrence that the task belongs to: "5c0e7a21d94b36f8.0.1"
std::string stepName(const TaskName &task);

enum class TaskPhase : std::uint8_t {
    Waiting, // no run of it can exist
    Placed, // a run of it may exist at its runner
    Done,
};

inline constexpr std::uint32_t FullWork = 100; // percent, of a task's share or of its progress

// What this process knows of a placed run. Not kept in the store.
enum class RunPhase : std::uint8_t {
    Ordered, // its start waits for the commit or for the answer
    Running, // the runner has said so
    Doubtful, // the start was not answered
    Inherited, // placed by an earlier owner; the runner has not been asked yet
};

struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint64_t run = 0; // the last run number given out
    std::vector<std::uint64_t> failedRuns; // numbers of the runs that failed
    std::string runner; // of the placed run
    std::string checkpoint;

    RunPhase runPhase = RunPhase::Ordered;
    std::uint32_t percent = 0; // of its processor share that it works at, or of its progress
    TimePoint progressedAt{}; // when a report first showed this percentage
    std::uint32_t figure = 0; // the runner's measure of it, in the runner's unit
    std::uint32_t missing = 0; // reports in a row without it
    TimePoint startedAt{}; // when the start was answered
    std::string avoidedRunner; // on which its last run failed or stood still
};

struct Step
{
    std::vector<Task> tasks;
    std::uint32_t doneCount = 0;

    bool isDone() const { return doneCount == tasks.size(); }
    std::size_t waitingCount() const;
};

struct Occurrence
{
    std::vector<Step> steps;
    std::uint32_t doneSteps = 0;

    bool isDone() const { return doneSteps == steps.size(); }
};

enum class JobPhase : std::uint8_t {
    Queued,
    Running, // a task of it has begun
    Completed,
    Failed,
    Cancelled,
};

std::string_view toString(JobPhase phase);

struct Job
{
    std::string id;
    std::string queue;
    std::string team;
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    std::int64_t acceptedAt = 0; // Unix milliseconds
    std::int64_t endedAt = 0; // Unix milliseconds; 0: it has not ended
    std::uint32_t doneOccurrences = 0;
    std::uint32_t nextOccurrence = 0; // the first one that has not begun
    std::map<std::uint32_t, Occurrence> occurrences; // those that go on

    bool hasEnded() const { return phase >= JobPhase::Completed; }
};

// An occurrence that begins: all its tasks wait.
Occurrence makeOccurrence(const JobSpec &spec);

// Calls `visit(name, task)` for each task with a placed run.
void forEachPlaced(const Job &job,
                   const std::function<void(const TaskName &name, const Task &task)> &visit);

// The most that a placed task takes of its job's row beside its runner's name and its checkpoint.
inline constexpr std::size_t PlacedTaskBytes = 24;
// The most that a job's row takes beside its occurrences.
inline constexpr std::size_t JobFrameBytes = 1'000;

// The most that an occurrence takes of its job's row while nothing of it is placed but what must be
// placed together: gangs and tasks that last, at runners with names of common length. O(steps).
std::size_t occurrenceBytes(const JobSpec &spec);

// The changing part of a job, for its row.
std::string encodeJobState(const Job &job);
// Fills the changing part of `job`, whose spec is set. RowMalformed leaves `job` half filled.
Result<void> parseJobState(std::string_view bytes, Job &job);

} // namespace sequoiapier::jobs
