// The use of a host that placement counts with: what is reported, and a reservation for what the
// lagging reports don't show yet.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/resources.h"

#include <optional>
#include <span>

namespace sequoiapier {

struct RunningJob
{
    Resources estimate; // of UsageLearner
    TimePoint startedAt;
    std::optional<Resources> reported; // newest report, if there is one
};

// A job younger than `reportLag`, or without a report, counts with its estimate; an older one with
// what it was reported to use, and with at least `floorPart` of its estimate, since use swings.
inline Resources hostLoad(std::span<const RunningJob> jobs, TimePoint now, Duration reportLag,
                          double floorPart = 0.5)
{
    Resources load;
    for (const RunningJob &job : jobs) {
        if (!job.reported || now - job.startedAt < reportLag) {
            load += job.estimate;
            continue;
        }
        const Resources floor = job.estimate * floorPart;
        load += {.processors = std::max(job.reported->processors, floor.processors),
                 .memory = std::max(job.reported->memory, floor.memory),
                 .accelerators = job.estimate.accelerators};
    }
    return load;
}

} // namespace sequoiapier
