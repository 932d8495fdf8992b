// JobControl: the jobs' part of the controller: the API for teams and the turns of the pools.
//
// Of the live controllers, one takes care of a pool, by rendezvous hash; while they disagree, two
// may, and the rows keep that safe. An urgent job is placed by the controller that took it, at
// once.
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
    std::string taskEndpoint; // of the platform's task service; empty: no jobs
    std::int64_t tickMilliseconds = 500; // between turns of a pool
    std::int64_t leaseMilliseconds = 15'000; // of a task
};

void addJobSettings(SettingsParser &parser, JobSettings &settings);

class JobControl
{
public:
    JobControl(Daemon &daemon, PeerNode &node, const JobSettings &settings);

    // Begins the turns; the process must have its incarnation.
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
    std::set<std::string> m_ownedPools; // pools that this process takes care of
    std::set<std::string> m_duePools; // pools with a turn to take at once
    std::uint64_t m_writes = 0;
    Timer m_tickTimer;
    Timer m_dueTimer;
    std::deque<std::function<void()>> m_steps; // of long changes
    Timer m_stepTimer;
};

} // namespace sequoiapier
