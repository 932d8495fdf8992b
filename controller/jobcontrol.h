// JobControl: the part of the controller that handles jobs: the API for teams and the ticks of the
// pools.
//
// Rendezvous hashing assigns each pool to one of the live controllers. While controllers disagree
// on who is live, two may own a pool; the versions of the table rows keep that safe. The controller
// that receives an urgent job ticks the job's pool at once.
#pragma once

#include "cli/daemon.h"
#include "controller/jobapi.h"
#include "controller/jobrunner.h"
#include "peer/peernode.h"
#include "platform/taskclient.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sequoiapier {

struct JobSettings
{
    std::string taskEndpoint; // Platform's task service; if empty, no jobs are served.
    std::int64_t tickMilliseconds = 500; // Interval between ticks of a pool.
    std::int64_t leaseMilliseconds = 15'000; // Lease of a task.
};

void addJobSettings(SettingsParser &parser, JobSettings &settings);

class JobControl
{
public:
    JobControl(Daemon &daemon, PeerNode &node, const JobSettings &settings);

    // Starts the ticks. The process must have its incarnation.
    void start();

private:
    JobRunner::Hooks runnerHooks();
    Result<std::string> findTeam(const std::string &key);
    bool ownsPool(const std::string &pool) const;
    void setOwned(const std::string &pool, bool isOwned);
    void tick();
    void tickDuePools();
    void runLater(std::function<void()> step);
    void runNextStep();
    std::string nextWriteId();

    Daemon &m_daemon;
    PeerNode &m_node;
    JobSettings m_settings;
    TaskClient m_tasks;
    JobApi m_api;
    std::unique_ptr<JobRunner> m_runner;
    std::set<std::string> m_ownedPools; // Pools that this process owns.
    std::set<std::string> m_duePools; // Pools to tick before the next interval.
    std::uint64_t m_writes = 0;
    Timer m_tickTimer;
    Timer m_dueTimer;
    std::deque<std::function<void()>> m_steps; // Steps of long changes, run one per iteration of
                                               // the event loop.
    Timer m_stepTimer;
};

} // namespace sequoiapier
