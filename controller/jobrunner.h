// JobRunner: takes the turns of the pools' jobs over the table and the task service, on one loop.
//
//   JobRunner runner(table, tasks, {.now = BootClock::now, .configuration = ..., ...}, options);
//   runner.turn("batch");  // on a timer, for each pool that this process takes care of
//
// Any number of controllers may take turns of one pool: of turns that race, one commits. A run is
// commanded only after the commit that placed it. What it keeps is only estimates and the rows
// parsed last, for speed; it must outlive its calls. Memory: the live jobs of its pools.
#pragma once

#include "controller/jobtick.h"
#include "controller/runstopper.h"
#include "jobs/workerquarantine.h"
#include "platform/tasks.h"
#include "sequoiapier/configuration.h"
#include "sequoiapier/table.h"
#include "sequoiapier/writeids.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class JobRunner
{
public:
    // All are required.
    struct Hooks
    {
        std::function<TimePoint()> now;
        std::function<const Configuration &()> configuration;
        // After each row that this process changed.
        std::function<void(const JobRow &)> changed;
        // After each tick; `hasMore`: more is to be done at once.
        std::function<void(std::string_view pool, bool hasMore)> turned;
        // Runs a step in a later tick of the loop, so that many new rows do not hold it up.
        std::function<void(std::function<void()> step)> later;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration tickTimeout = std::chrono::seconds(2); // reads, commit and commands of a tick
        // Of a pool; more are refused. A scan of them must fit into one response of the table.
        std::size_t maxLiveJobs = 12'000;
        JobTickOptions tick;
        UsageLearner::Options learner;
        WorkerQuarantine::Options quarantine;
        RunStopper::Options stopper;
    };

    JobRunner(Table table, Tasks tasks, Hooks hooks, Options options);

    // False if a tick of the pool is under way.
    bool turn(std::string_view pool);
    // Drops what is kept of a pool that another process takes care of.
    void forget(std::string_view pool);

private:
    struct Pool
    {
        std::map<std::string, LiveJob> rows; // by key of the table row
        std::map<TaskId, TimePoint> firstSeen; // runs
        std::map<TaskId, Resources> observed; // taken by the learner
        std::vector<TaskId> running; // of the last tick
    };
    using TickPtr = std::shared_ptr<JobTick>;

    void readWorkers(const TickPtr &tick);
    void readHosts(const TickPtr &tick);
    void readJobs(const TickPtr &tick);
    void parseJobs(const TickPtr &tick);
    void readTeamCounts(const TickPtr &tick);
    void updateFullMarker(const JobTick &tick);
    void observeUsage(JobTick &tick);
    void plan(const TickPtr &tick);
    void commitAll(const TickPtr &tick);
    void commitTeams(const TickPtr &tick, std::vector<std::string> teams);
    void commit(const TickPtr &tick, const std::string &team,
                std::function<void(CommitOutcome)> done);
    static std::vector<RowWrite> writesOf(const JobTick &tick, std::string_view team);
    void onCommitted(const JobTick &tick, std::string_view team);
    void sendRestartsAndRenewals(const JobTick &tick);
    void sendStops(const JobTick &tick);
    void acknowledge(const JobTick &tick);
    void finishTick(const JobTick &tick, bool hasMore);

    Table m_table;
    Tasks m_tasks;
    Hooks m_hooks;
    Options m_options;
    UsageLearner m_learner;
    WorkerQuarantine m_quarantine;
    std::map<std::string, Pool, std::less<>> m_pools;
    std::map<std::string, RunStopper, std::less<>> m_stoppers; // by pool
    std::shared_ptr<std::set<std::string, std::less<>>> m_poolsInProgress
        = std::make_shared<std::set<std::string, std::less<>>>(); // pools
    WriteIds m_writeIds;
};

} // namespace sequoiapier
