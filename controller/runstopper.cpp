#include "controller/runstopper.h"

#include <map>

namespace sequoiapier {

namespace {

std::string nameOf(const TaskId &task)
{
    return task.job + "#" + std::to_string(task.attempt);
}

} // namespace

RunStopper::RunStopper(Options options)
    : m_options(options)
    , m_queue(options.queue)
{ }

StopCommands RunStopper::tick(std::span<const JobRow *const> unwanted,
                              std::span<const TaskReport> reports, TimePoint now)
{
    std::map<std::string, TaskId> tasks;
    for (const JobRow *row : unwanted) {
        const TaskId task{taskName(*row), row->attempt};
        tasks[nameOf(task)] = task;
        // A full queue refuses the job; a later tick adds it.
        (void)m_queue.add({.job = nameOf(task),
                           .team = row->team,
                           .host = row->worker,
                           .needsCheckpoint = row->hasCheckpoints,
                           .checkpointDeadline = now + m_options.checkpointTimeout});
    }
    for (const TaskReport &report : reports) {
        if (report.state != TaskState::Running)
            m_queue.confirmStop(nameOf(report.id));
        else if (report.isCheckpointed)
            m_queue.confirmCheckpoint(nameOf(report.id));
    }
    StopCommands commands;
    for (const StopCommand &command : m_queue.tick(now)) {
        const auto task = tasks.find(command.job);
        if (task == tasks.end())
            m_queue.confirmStop(command.job); // The job's row is gone, or its run is wanted again.
        else if (command.action == StopAction::Stop)
            commands.stops.push_back(task->second);
        else
            commands.checkpoints.push_back(task->second);
    }
    return commands;
}

} // namespace sequoiapier
