// RunStopper: stops runs that are not wanted any more, each after a checkpoint where the job has
// some, at the rate of its StopQueue.
//
//   RunStopper stopper({});
//   StopCommands commands = stopper.tick(unwanted, reports, now); // in each turn of a pool
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
        Duration checkpointTimeout = std::chrono::seconds(10); // then a job is stopped without
        StopQueue::Options queue;
    };

    explicit RunStopper(Options options);

    // `unwanted` are the jobs whose runs must end, in every turn until a report shows the end.
    StopCommands tick(std::span<const JobRow *const> unwanted, std::span<const TaskReport> reports,
                      TimePoint now);

private:
    Options m_options;
    StopQueue m_queue;
};

} // namespace sequoiapier
