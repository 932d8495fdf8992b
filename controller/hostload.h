// The load of a host as placement counts it: the reported use, plus a reservation for use that the
// delayed reports don't show yet.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/resources.h"

#include <optional>
#include <span>

namespace sequoiapier {

struct RunningJob
{
    Resources estimate; // estimated by UsageLearner
    TimePoint startedAt;
    std::optional<Resources> reported; // newest report, if any
};

// A job younger than `reportLag` or without a report counts with its estimate. An older job counts
// with its reported use, but at least with the fraction `floorFraction` of its estimate, since use
// fluctuates.
inline Resources hostLoad(std::span<const RunningJob> jobs, TimePoint now, Duration reportLag,
                          double floorFraction = 0.5)
{
    Resources load;
    for (const RunningJob &job : jobs) {
        if (!job.reported || now - job.startedAt < reportLag) {
            load += job.estimate;
            continue;
        }
        const Resources floor = job.estimate * floorFraction;
        load += {.processors = std::max(job.reported->processors, floor.processors),
                 .memory = std::max(job.reported->memory, floor.memory),
                 .accelerators = job.estimate.accelerators};
    }
    return load;
}

} // namespace sequoiapier
