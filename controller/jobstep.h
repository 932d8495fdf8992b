// nextJobStep: what a report of its run makes of a placed job, as a pure function.
//
//   if (std::optional<JobRow> next = nextJobStep(row, report, {}))
//       ... // write it over the row
#pragma once

#include "controller/jobrow.h"
#include "platform/tasks.h"

#include <optional>

namespace sequoiapier {

struct JobStepOptions
{
    // Of a job that may be run again: it fails for good after failing on so many workers, or so
    // many times. One worker that fails all it starts does not condemn a job.
    std::size_t maxFailedWorkers = 3;
    std::uint32_t maxFailures = 10;
};

// nullopt if the row stays. `report` must be of the row's attempt.
std::optional<JobRow> nextJobStep(const JobRow &row, const TaskReport &report,
                                  const JobStepOptions &options);

} // namespace sequoiapier
