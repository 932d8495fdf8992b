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
    std::uint32_t maxFailures = 3; // failed attempts of a job that may be run again
};

// nullopt if the row stays. `report` must be of the row's attempt.
std::optional<JobRow> nextJobStep(const JobRow &row, const TaskReport &report,
                                  const JobStepOptions &options);

} // namespace sequoiapier
