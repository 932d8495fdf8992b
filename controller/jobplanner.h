// planJobTick: plans one tick of a pool's jobs (placing jobs and following their runs), as a pure
// function.
//
//   JobTickPlan plan = planJobTick({.jobs = jobs, .hosts = hosts, ...}, {});
//   // commit plan.changes and plan.teamCounts together, then send the commands
//
// The reports must be read before the jobs' rows, so that a report without a row belongs to a run
// whose end is recorded. Starts and other changes of a tick are bounded separately, so that ten
// thousand cancellations do not delay a start.
#pragma once

#include "controller/jobstep.h"
#include "controller/placement.h"
#include "controller/teamcountrow.h"
#include "controller/usagelearner.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoiapier {

struct JobHost
{
    std::string name;
    Resources capacity;
    bool isOpen = true; // The host is serving and live.
    bool isDraining = false; // Rerunnable jobs are moved off the host.
};

struct JobTeam
{
    std::string name;
    double share = 1;
    std::uint32_t ceiling = 0; // Most placed jobs in the whole fleet; 0: no ceiling.
};

// Report of the newest attempt, by task name.
using TaskReports = std::unordered_map<std::string, TaskReport>;

struct JobTickInput
{
    std::span<const LiveJob> jobs;
    std::span<const JobHost> hosts;
    bool isPoolComplete = true; // The capacity of each host of the pool is known.
    std::span<const JobTeam> teams;
    const std::map<std::string, TeamCount> &teamCounts;
    const TaskReports &reports;
    const std::set<std::string, std::less<>> &quarantined; // Host names.
    const UsageLearner &learner;
    TimePoint now;
    // Returns when this process first saw the run.
    std::function<TimePoint(const TaskId &)> startedAt;
};

struct JobTickOptions
{
    std::size_t maxStarts = 128; // Starts per tick.
    std::size_t maxChanges = 256; // Other changes per tick.
    Duration reportLag = std::chrono::seconds(10);
    JobStepOptions step;
    PlacementOptions placement;
};

struct JobChange
{
    std::size_t job = 0; // Index into JobTickInput::jobs.
    JobRow after;
};

struct JobTickPlan
{
    std::vector<JobChange> changes;
    std::map<std::string, std::uint32_t> teamCounts; // Counts that change, by team.
    std::vector<std::size_t> restarts; // Placed jobs without a report of their run.
    std::vector<std::size_t> stops; // Jobs whose runs must end.
    std::vector<std::size_t> running; // Jobs whose leases are to be renewed.
    bool hasMore = false; // A bound of the tick was reached.
};

// Cost: O(j log j) for j jobs, plus the cost of planPlacement().
JobTickPlan planJobTick(const JobTickInput &input, const JobTickOptions &options);

// Returns the job's class for UsageLearner.
std::string usageClass(const JobRow &row);

} // namespace sequoiapier
