// StopQueue: schedules stops of running jobs, each after an optional checkpoint, at a bounded rate.
//
//   Result<void> accepted = queue.add({.job = "j1", .team = "a", .host = "h3", ...});
//   for (const StopCommand &command : queue.tick(now))
//       ... // send it to the host; commands are repeated until confirmed
//   queue.confirmCheckpoint("j1");
//   queue.confirmStop("j1"); // after a report shows the end; only then is the job's room free
//
// Teams are served round-robin, so that a team that cancels 10,000 jobs at once does not delay the
// stops of others. A tick returns at most maxPerTick commands, so that starts are not delayed
// either. A host has at most maxCheckpoints checkpoints in progress. Memory: at most maxQueued
// jobs; add() refuses more.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/result.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiapier {

struct StopRequest
{
    std::string job;
    std::string team;
    std::string host;
    bool needsCheckpoint = false;
    TimePoint checkpointDeadline; // After it, the job is stopped without a checkpoint.
};

enum class StopAction : std::uint8_t {
    Checkpoint,
    Stop,
};

struct StopCommand
{
    std::string job;
    std::string host;
    StopAction action = StopAction::Stop;
};

class StopQueue
{
public:
    struct Options
    {
        std::size_t maxQueued = 65'536;
        std::size_t maxPerTick = 200;
        std::size_t maxCheckpoints = 4; // Checkpoints in progress on a host.
        Duration repeatInterval
            = std::chrono::seconds(5); // Between repeats of an unconfirmed command.
    };

    explicit StopQueue(Options options);

    // Fails with CapacityExceeded if the queue is full. A job already in the queue is not changed.
    Result<void> add(const StopRequest &request);
    // Returns the commands to send now. Cost: at most O(n log t) for n jobs and t teams.
    std::vector<StopCommand> tick(TimePoint now);
    void confirmCheckpoint(std::string_view job);
    void confirmStop(std::string_view job);

    std::size_t size() const { return m_jobs.size(); }

private:
    struct Job
    {
        StopRequest request;
        bool isCheckpointing = false;
        bool isCheckpointed = false;
        TimePoint nextCommand; // Earliest time of the next command.
    };

    void visitNext(std::deque<std::string> &jobs, TimePoint now,
                   std::vector<StopCommand> &commands);
    bool isOverdue(const Job &job, TimePoint now) const;
    bool beginCheckpoint(Job &job);
    void endCheckpoint(Job &job);

    Options m_options;
    std::unordered_map<std::string, Job> m_jobs;
    std::map<std::string, std::deque<std::string>>
        m_teams; // Unconfirmed jobs in round-robin order.
    std::unordered_map<std::string, std::size_t> m_checkpoints; // Checkpoints in progress, by host.
    std::string m_lastTeam;
};

} // namespace sequoiapier
