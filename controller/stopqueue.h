// StopQueue: stops of running jobs, with a checkpoint before the stop, at a bounded rate.
//
//   Result<void> accepted = queue.add({.job = "j1", .team = "a", .host = "h3", ...});
//   for (const StopCommand &command : queue.tick(now))
//       ... // send it to the host; commands are repeated until confirmed
//   queue.confirmCheckpoint("j1");
//   queue.confirmStop("j1"); // shown by a report of the host; only then is the job's room free
//
// Teams take turns, so that a team that cancels 10,000 jobs at once does not delay the others'
// stops, and a turn has at most maxPerTick commands, so that starts are not delayed either. A host
// has at most maxCheckpoints under way. Memory: at most maxQueued jobs, then add() refuses.
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
    TimePoint checkpointDeadline; // then the job is stopped without one
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
        std::size_t maxCheckpoints = 4; // under way on a host
        Duration repeatInterval = std::chrono::seconds(5); // an unconfirmed command
    };

    explicit StopQueue(Options options);

    // CapacityExceeded when full. A job that is in the queue stays as it is.
    Result<void> add(const StopRequest &request);
    // The commands to send now. O(n) in the jobs at the most, each O(log t) in the teams.
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
        TimePoint nextCommand; // not before
    };

    void visitNext(std::deque<std::string> &jobs, TimePoint now,
                   std::vector<StopCommand> &commands);
    bool isOverdue(const Job &job, TimePoint now) const;
    bool beginCheckpoint(Job &job);
    void endCheckpoint(Job &job);

    Options m_options;
    std::unordered_map<std::string, Job> m_jobs;
    std::map<std::string, std::deque<std::string>> m_teams; // jobs not confirmed, in turn
    std::unordered_map<std::string, std::size_t> m_checkpoints; // under way, by host
    std::string m_lastTeam;
};

} // namespace sequoiapier
