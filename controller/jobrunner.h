// JobRunner: runs the ticks of the pools' jobs against the table and the task service, on one event
// loop.
//
//   JobRunner runner(table, tasks, {.now = BootClock::now, .configuration = ..., ...}, options);
//   runner.tick("batch");  // on a timer, for each pool that this process owns
//
// Any number of controllers may tick one pool at the same time: of racing ticks, one commits. A
// start is commanded only after the commit that placed the job. A JobRunner keeps only estimates
// and, for speed, the rows parsed last; it must outlive its calls. Memory: the live jobs of its
// pools.
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
    // All hooks are required.
    struct Hooks
    {
        std::function<TimePoint()> now;
        std::function<const Configuration &()> configuration;
        // Called for each row that this process changed, after the commit.
        std::function<void(const JobRow &)> changed;
        // Called after each tick that made a plan; `hasMore` asks for another tick at once.
        std::function<void(std::string_view pool, bool hasMore)> ticked;
        // Runs a step in a later iteration of the event loop, so that many new rows do not block
        // it.
        std::function<void(std::function<void()> step)> later;
    };

    struct Options
    {
        std::string process; // Makes write identifiers unique, together with `incarnation`.
        std::uint64_t incarnation = 0;
        Duration tickTimeout
            = std::chrono::seconds(2); // For the reads, the commit and the commands of a tick.
        // Most live jobs of a pool; further submissions are refused. A scan of the live jobs must
        // fit into one response of the table.
        std::size_t maxLiveJobs = 12'000;
        JobTickOptions tick;
        UsageLearner::Options learner;
        WorkerQuarantine::Options quarantine;
        RunStopper::Options stopper;
    };

    JobRunner(Table table, Tasks tasks, Hooks hooks, Options options);

    // Starts a tick of the pool. Returns false if one is already in progress.
    bool tick(std::string_view pool);
    // Drops the state of a pool that another process owns.
    void forget(std::string_view pool);

private:
    struct Pool
    {
        std::map<std::string, LiveJob> rows; // By key of the table row.
        std::map<TaskId, TimePoint> firstSeen; // When each run was first seen.
        std::map<TaskId, Resources> observed; // Usage last passed to the learner.
        std::vector<TaskId> running; // Runs of the last tick.
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
    std::map<std::string, RunStopper, std::less<>> m_stoppers; // By pool.
    std::shared_ptr<std::set<std::string, std::less<>>> m_poolsInProgress
        = std::make_shared<std::set<std::string, std::less<>>>(); // Pools with a tick in progress.
    WriteIds m_writeIds;
};

} // namespace sequoiapier
