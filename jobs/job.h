// Job: a job as held by its pool's owner, and the encoding of its row in the platform's store.
//
// A task is identified by its job, its occurrence, its step and its index in the step. Each start
// of a task gets a new, larger run number. The row holds what must survive a change of owner: which
// tasks are done, how often each has failed, and on which runner each run was ordered. The row is
// written before an order is sent and before an end is acknowledged to the runner.
#pragma once

#include "jobs/jobspec.h"
#include "jobs/jobterms.h"
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

// Example: "5c0e7a21d94b36f8.0.1.17".
std::string toString(const TaskName &name);
// Returns RowMalformed if `text` is not a task name.
Result<TaskName> parseTaskName(std::string_view text);
// Name of the task's step and occurrence, such as "5c0e7a21d94b36f8.0.1".
std::string stepName(const TaskName &task);

enum class TaskPhase : std::uint8_t {
    Waiting, // No run of the task can exist.
    Placed, // A run of the task may exist on its runner.
    Done,
};

// Full processor share or full progress of a task, in percent.
inline constexpr std::uint32_t FullWork = 100;

// What this process knows about a placed run. It is not stored.
enum class RunPhase : std::uint8_t {
    Ordered, // The start waits for the commit or for the runner's answer.
    Running, // The runner has confirmed the run.
    Unconfirmed, // The start was sent but not answered.
    Inherited, // An earlier owner placed the run; the runner has not been asked about it yet.
};

struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint64_t run = 0; // Last run number assigned.
    std::vector<std::uint64_t> failedRuns; // Run numbers of the failed runs.
    std::string runner; // Runner of the placed run.
    std::string checkpoint;
    // The life of the runner that has the placed run has shown that it holds no longer lease than
    // was meant, so that later owners need not wait for the longest one.
    bool isLeaseKnown = false;

    RunPhase runPhase = RunPhase::Ordered;
    // Percentage of its processor share that the task uses, or its progress.
    std::uint32_t percent = 0;
    TimePoint progressedAt{}; // When a report first showed the current percentage.
    std::uint32_t measurement = 0; // Value reported by the runner: see RunReport::measurement.
    std::uint32_t missingReports = 0; // Number of consecutive reports without the run.
    TimePoint startedAt{}; // When the runner confirmed the start.
    std::string avoidedRunner; // Runner on which the last run failed or stalled.
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

// A run that was placed when its job ended, and that may go on until it is stopped.
struct RemainingRun
{
    TaskName task;
    std::uint64_t run = 0;
    std::string runner;
    Resources size;
    bool isFilling = false;
    bool isLasting = false;
};

enum class JobPhase : std::uint8_t {
    Queued,
    Running, // At least one task has begun.
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
    JobTerms terms;
    JobPhase phase = JobPhase::Queued;
    std::int64_t acceptedAt = 0; // Unix milliseconds.
    std::int64_t endedAt = 0; // Unix milliseconds; 0 if the job has not ended.
    std::uint32_t doneOccurrences = 0;
    std::uint32_t nextOccurrence = 0; // First occurrence that has not begun.
    std::map<std::uint32_t, Occurrence> occurrences; // Open occurrences by number.
    std::vector<RemainingRun> remainingRuns; // As of the job's end; empty before.

    bool hasEnded() const { return phase >= JobPhase::Completed; }
};

// Returns a new occurrence with all tasks waiting.
Occurrence makeOccurrence(const JobSpec &spec);

// Calls `visit(name, task)` for each task that has a placed run.
void forEachPlaced(const Job &job,
                   const std::function<void(const TaskName &name, const Task &task)> &visit);

// Room in a job's row. A task takes one byte until it is first placed and once it is done. From its
// first placement on it holds the room for all that it may grow to: the failed runs that its terms
// allow, a runner's name and a checkpoint of common length, and what the present ones exceed those
// by. Gangs and lasting tasks, which are placed as a whole, hold that room from the beginning.
//
// Checkpoint length for which a task of a step with checkpoints holds room.
inline constexpr std::size_t CheckpointBytes = 32;

// Maximum size of the job's row without its occurrences.
std::size_t frameBytes(const Job &job);
// Room of an occurrence that begins, and of one more task so that it can go on. O(steps).
std::size_t occurrenceBytes(const JobSpec &spec, const JobTerms &terms);
// Room of the task as it is, and of the same task placed on the runner.
std::size_t taskBytes(const StepSpec &step, const JobTerms &terms, const Task &task);
std::size_t placedTaskBytes(const StepSpec &step, const JobTerms &terms, const Task &task,
                            std::string_view runner);
// Room of the largest placed task of the job without a checkpoint of its own. O(steps).
std::size_t largestTaskBytes(const JobSpec &spec, const JobTerms &terms);
// Maximum size of a remaining run in its job's row.
std::size_t remainingRunBytes(const RemainingRun &run);
// Room of the whole job, which is at least the size of its row. O(n) in tasks.
std::size_t rowBytes(const Job &job);

// Encodes the mutable part of a job for its row.
std::string encodeJobState(const Job &job);
// Fills the mutable part of `job`, whose spec must be set. On RowMalformed, `job` is left partly
// filled.
Result<void> parseJobState(std::string_view bytes, Job &job);

} // namespace sequoiapier::jobs
