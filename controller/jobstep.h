// nextJobStep: the transition of a placed job for a report of its run, as a pure function.
//
//   if (std::optional<JobRow> next = nextJobStep(row, report, {}))
//       ... // replace the row with *next
#pragma once

#include "controller/jobrow.h"
#include "platform/tasks.h"

#include <optional>

namespace sequoiapier {

struct JobStepOptions
{
    // A rerunnable job fails permanently after failures on maxFailedWorkers different workers, or
    // after maxFailures failures. A single worker that fails every run is not enough for the first.
    std::size_t maxFailedWorkers = 3;
    std::uint32_t maxFailures = 10;
};

// Returns the row after `report`, or nullopt if it does not change. `report` must be of the row's
// attempt.
std::optional<JobRow> nextJobStep(const JobRow &row, const TaskReport &report,
                                  const JobStepOptions &options);

} // namespace sequoiapier
