// Encoded as CBOR arrays in the order of the fields. A done task is the number 1, a waiting task
// that was never placed is 0, and any other task is an array, which keeps the row of a large job
// small. The tasks with a known lease are listed beside the tasks of their occurrence, where
// earlier versions do not look.
#include "jobs/job.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

constexpr int StateFormat = 1;
constexpr std::size_t StateFields = 9;
constexpr std::size_t TaskFields = 5;
constexpr int WaitingMark = 0;
constexpr int DoneMark = 1;

// Maximum sizes in the row. Run numbers fit 32 bits.
constexpr std::size_t OccurrenceFrameBytes = 16;
constexpr std::size_t StepFrameBytes = 10;
constexpr std::size_t TaskFrameBytes = 18; // of a placed task, without what has a length
constexpr std::size_t RunNumberBytes = 5;
constexpr std::size_t RunnerNameBytes = 40;
constexpr std::uint32_t RoomyAttempts = 100; // attempts for which a task holds room

bool isPlacedAsAWhole(const StepSpec &step)
{
    return step.isGang || step.isLasting;
}

json encodeTask(const Task &task)
{
    if (task.phase == TaskPhase::Done)
        return DoneMark;
    if (task.phase == TaskPhase::Waiting && task.run == 0)
        return WaitingMark;
    const bool isPlaced = task.phase == TaskPhase::Placed;
    return json::array({isPlaced, task.run, task.failedRuns, isPlaced ? task.runner : std::string(),
                        task.checkpoint});
}

bool parseTask(const json &value, Task &task)
{
    if (value.is_number()) {
        task.phase = value == DoneMark ? TaskPhase::Done : TaskPhase::Waiting;
        return true;
    }
    if (value.size() != TaskFields)
        return false;
    task.phase = value[0].get<bool>() ? TaskPhase::Placed : TaskPhase::Waiting;
    value[1].get_to(task.run);
    value[2].get_to(task.failedRuns);
    value[3].get_to(task.runner);
    value[4].get_to(task.checkpoint);
    task.runPhase = RunPhase::Inherited;
    return true;
}

json encodeOccurrence(const Occurrence &occurrence)
{
    json steps = json::array();
    for (const Step &step : occurrence.steps) {
        json tasks = json::array();
        for (const Task &task : step.tasks)
            tasks.push_back(encodeTask(task));
        steps.push_back(std::move(tasks));
    }
    return steps;
}

// Returns the indices of the tasks with a known lease, by step; empty if there are none.
json encodeKnownLeases(const Occurrence &occurrence)
{
    json steps = json::array();
    bool hasAny = false;
    for (const Step &step : occurrence.steps) {
        json indices = json::array();
        for (std::size_t t = 0; t < step.tasks.size(); ++t) {
            if (step.tasks[t].phase == TaskPhase::Placed && step.tasks[t].isLeaseKnown)
                indices.push_back(t);
        }
        hasAny = hasAny || !indices.empty();
        steps.push_back(std::move(indices));
    }
    return hasAny ? steps : json::array();
}

void parseKnownLeases(const json &steps, Occurrence &occurrence)
{
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (const json &index : steps[s])
            occurrence.steps.at(s).tasks.at(index.get<std::size_t>()).isLeaseKnown = true;
    }
}

bool parseOccurrence(const json &steps, Occurrence &occurrence)
{
    if (steps.size() != occurrence.steps.size())
        return false;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        Step &step = occurrence.steps[s];
        if (steps[s].size() != step.tasks.size())
            return false;
        for (std::size_t t = 0; t < step.tasks.size(); ++t) {
            if (!parseTask(steps[s][t], step.tasks[t]))
                return false;
            if (step.tasks[t].phase == TaskPhase::Done)
                ++step.doneCount;
        }
        if (step.isDone())
            ++occurrence.doneSteps;
    }
    return true;
}

json encodeRemainingRun(const RemainingRun &run)
{
    return json::array({run.task.occurrence, run.task.step, run.task.index, run.run, run.runner,
                        run.size.processors, run.size.memory, run.size.accelerators, run.isFilling,
                        run.isLasting});
}

RemainingRun parseRemainingRun(const json &row, const std::string &job)
{
    RemainingRun run{.task = {.job = job}};
    std::size_t field = 0;
    const auto next = [&](auto &target) { row.at(field++).get_to(target); };
    next(run.task.occurrence);
    next(run.task.step);
    next(run.task.index);
    next(run.run);
    next(run.runner);
    next(run.size.processors);
    next(run.size.memory);
    next(run.size.accelerators);
    next(run.isFilling);
    next(run.isLasting);
    return run;
}

bool parseNumber(std::string_view text, std::uint32_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

} // namespace

std::string stepName(const TaskName &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

std::string toString(const TaskName &name)
{
    return stepName(name) + "." + std::to_string(name.index);
}

Result<TaskName> parseTaskName(std::string_view text)
{
    TaskName name;
    std::string_view rest = text;
    for (std::uint32_t *number : {&name.index, &name.step, &name.occurrence}) {
        const std::size_t dot = rest.rfind('.');
        if (dot == std::string_view::npos || !parseNumber(rest.substr(dot + 1), *number))
            return Error{ResultCode::RowMalformed, "malformed task name: " + std::string(text)};
        rest = rest.substr(0, dot);
    }
    name.job = rest;
    return name;
}

std::string_view toString(JobPhase phase)
{
    static constexpr std::array<std::string_view, 5> Names{"queued", "running", "completed",
                                                           "failed", "cancelled"};
    return Names[std::size_t(phase)];
}

std::size_t Step::waitingCount() const
{
    return std::size_t(std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Waiting;
    }));
}

void forEachPlaced(const Job &job,
                   const std::function<void(const TaskName &name, const Task &task)> &visit)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const std::vector<Task> &tasks = occurrence.steps[s].tasks;
            for (std::uint32_t t = 0; t < tasks.size(); ++t) {
                if (tasks[t].phase == TaskPhase::Placed)
                    visit({job.id, number, s, t}, tasks[t]);
            }
        }
    }
}

Occurrence makeOccurrence(const JobSpec &spec)
{
    Occurrence occurrence;
    for (const StepSpec &step : spec.steps)
        occurrence.steps.push_back({.tasks = std::vector<Task>(step.count)});
    return occurrence;
}

std::size_t frameBytes(const Job &job)
{
    constexpr std::size_t FrameBytes = 64; // without the names
    return FrameBytes + job.queue.size() + job.team.size();
}

std::size_t occurrenceBytes(const JobSpec &spec, const JobTerms &terms)
{
    std::size_t bytes = OccurrenceFrameBytes;
    for (const StepSpec &step : spec.steps) {
        const std::size_t unplaced = taskBytes(step, terms, {});
        bytes += StepFrameBytes + step.count * unplaced;
    }
    return bytes + largestTaskBytes(spec, terms);
}

std::size_t largestTaskBytes(const JobSpec &spec, const JobTerms &terms)
{
    std::size_t largest = 0;
    for (const StepSpec &step : spec.steps)
        largest = std::max(largest, placedTaskBytes(step, terms, {}, {}));
    return largest;
}

std::size_t placedTaskBytes(const StepSpec &step, const JobTerms &terms, const Task &task,
                            std::string_view runner)
{
    const std::size_t attempts = step.isLasting ? 0 : std::min(terms.maxAttempts, RoomyAttempts);
    return TaskFrameBytes + std::max(runner.size(), RunnerNameBytes)
        + std::max(task.failedRuns.size(), attempts) * RunNumberBytes
        + std::max(task.checkpoint.size(), step.hasCheckpoints ? CheckpointBytes : 0);
}

std::size_t taskBytes(const StepSpec &step, const JobTerms &terms, const Task &task)
{
    const bool isUnplaced = task.phase == TaskPhase::Waiting && task.run == 0;
    if (task.phase == TaskPhase::Done || (isUnplaced && !isPlacedAsAWhole(step)))
        return 1;
    return placedTaskBytes(step, terms, task, task.runner);
}

std::size_t rowBytes(const Job &job)
{
    std::size_t bytes = frameBytes(job);
    for (const auto &[number, occurrence] : job.occurrences) {
        bytes += OccurrenceFrameBytes;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            bytes += StepFrameBytes;
            for (const Task &task : occurrence.steps[s].tasks)
                bytes += taskBytes(job.spec.steps[s], job.terms, task);
        }
    }
    return bytes;
}

std::size_t remainingRunBytes(const RemainingRun &run)
{
    constexpr std::size_t FrameBytes = 56;
    return FrameBytes + run.runner.size();
}

// The last field holds the open occurrences, or the remaining runs of a job that has ended.
std::string encodeJobState(const Job &job)
{
    json work = json::array();
    for (const auto &[number, occurrence] : job.occurrences) {
        json row = json::array({number, encodeOccurrence(occurrence)});
        json knownLeases = encodeKnownLeases(occurrence);
        if (!knownLeases.empty())
            row.push_back(std::move(knownLeases));
        work.push_back(std::move(row));
    }
    for (const RemainingRun &run : job.remainingRuns)
        work.push_back(encodeRemainingRun(run));
    const json document
        = json::array({StateFormat, job.queue, job.team, int(job.phase), job.acceptedAt,
                       job.endedAt, job.doneOccurrences, job.nextOccurrence, std::move(work)});
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

Result<void> parseJobState(std::string_view bytes, Job &job)
{
    const Error malformed{ResultCode::RowMalformed, "malformed state of job " + job.id};
    try {
        // Throws for lengths that exceed the available memory even when exceptions are turned off.
        const json document = parseCbor(bytes);
        if (!document.is_array() || document.size() != StateFields || document[0] != StateFormat)
            return malformed;
        document[1].get_to(job.queue);
        document[2].get_to(job.team);
        const int phase = document[3].get<int>();
        if (phase < 0 || phase > int(JobPhase::Cancelled))
            return malformed;
        job.phase = JobPhase(phase);
        document[4].get_to(job.acceptedAt);
        document[5].get_to(job.endedAt);
        document[6].get_to(job.doneOccurrences);
        document[7].get_to(job.nextOccurrence);
        for (const json &entry : document[8]) {
            if (job.hasEnded()) {
                job.remainingRuns.push_back(parseRemainingRun(entry, job.id));
                continue;
            }
            Occurrence occurrence = makeOccurrence(job.spec);
            if (!parseOccurrence(entry.at(1), occurrence))
                return malformed;
            if (entry.size() > 2)
                parseKnownLeases(entry[2], occurrence);
            job.occurrences[entry.at(0).get<std::uint32_t>()] = std::move(occurrence);
        }
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    } catch (const std::out_of_range &) {
        return malformed;
    }
    return boost::outcome_v2::success();
}

} // namespace sequoiapier::jobs
