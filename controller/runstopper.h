// RunStopper: stops runs that are no longer wanted, at the rate of its StopQueue. Jobs that support
// checkpoints are checkpointed before the stop.
//
//   RunStopper stopper({});
//   StopCommands commands = stopper.tick(unwanted, reports, now); // in each tick of a pool
#pragma once

#include "controller/jobrow.h"
#include "controller/stopqueue.h"
#include "platform/tasks.h"

#include <span>
#include <vector>

namespace sequoiapier {

struct StopCommands
{
    std::vector<TaskId> checkpoints;
    std::vector<TaskId> stops;
};

class RunStopper
{
public:
    struct Options
    {
        Duration checkpointTimeout
            = std::chrono::seconds(10); // After it, a job is stopped without one.
        StopQueue::Options queue;
    };

    explicit RunStopper(Options options);

    // `unwanted` holds the jobs whose runs must end. A job must be passed in every tick until a
    // report shows the end of its run.
    StopCommands tick(std::span<const JobRow *const> unwanted, std::span<const TaskReport> reports,
                      TimePoint now);

private:
    Options m_options;
    StopQueue m_queue;
};

} // namespace sequoiapier
