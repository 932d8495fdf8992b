// JobSpec: what a caller asks for, namely steps of tasks that run once or at set times.
//
//   std::string bytes = encodeJobSpec(spec);          // for rows and messages
//   Result<JobSpec> spec = parseJobSpec(bytes);
#pragma once

#include "sequoiapier/resources.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

struct StepSpec
{
    std::uint32_t count = 1; // Number of tasks.
    Resources size; // Resources of one task.
    std::int64_t estimateMilliseconds = 0; // Declared run time of one task.
    std::vector<std::uint32_t> after; // Steps that must be done before this one starts.
    std::string requiredLabel; // Label that the runner must have; empty if any runner will do.
    std::string dataRack; // Rack that holds the data; empty if any rack will do.
    std::string image; // Image that the tasks run; tasks with the same image behave alike.
    // Maximum number of the step's tasks on one runner; 0 if unlimited.
    std::uint32_t maxPerRunner = 0;
    std::uint32_t targetMilliseconds = 0; // Target for the tail of a serving task's response times.
    // Maximum number of tasks out of service at once; 0 if unlimited.
    std::uint32_t maxUnavailable = 0;
    bool hasCheckpoints = false;
    bool isGang = false; // Runs only while all its tasks are present.
    bool isSameRack = false; // Runs slowly when spread over several racks.
    bool isSpeculative = false; // Copies of a task may run at the same time.
    bool isLasting = false; // Runs until the job is cancelled.
    bool isFilling = false; // Uses only processor time that the other tasks leave.

    // Resources that one task takes on a runner.
    Resources room() const
    {
        return {.processors = isFilling ? 0 : size.processors,
                .memory = size.memory,
                .accelerators = size.accelerators};
    }
    bool operator==(const StepSpec &) const = default;
};

struct JobSpec
{
    std::string payload; // Passed to each task.
    std::vector<StepSpec> steps;
    std::uint32_t times = 0; // Number of occurrences; 0 means one occurrence that starts at once.
    std::int64_t firstDue = 0; // Unix time of occurrence 0 in milliseconds.
    std::int64_t intervalMilliseconds = 0; // Time from one occurrence to the next.

    bool isTimed() const { return times > 0; }
    std::uint32_t occurrenceCount() const { return times > 0 ? times : 1; }
    bool operator==(const JobSpec &) const = default;
};

inline constexpr std::size_t MaxPayloadBytes = 4'000;
inline constexpr std::size_t MaxSteps = 64;
inline constexpr std::uint32_t MaxTasksPerStep = 2'000;

// Returns RequestMalformed, naming the field, if `spec` can't be run: for example, if it has no
// steps or too many, or if `after` names a step that is not an earlier one.
Result<void> checkJobSpec(const JobSpec &spec);

// Description for people, such as "6 x 3.5 cores 9.8 GB; 6 x 3.5 cores 9.8 GB after 0".
std::string summary(const JobSpec &spec);

std::string encodeJobSpec(const JobSpec &spec);
// Returns RowMalformed if `bytes` were not written by encodeJobSpec().
Result<JobSpec> parseJobSpec(std::string_view bytes);

} // namespace sequoiapier::jobs
