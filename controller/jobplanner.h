// planJobTurn: one turn of placing and following a pool's jobs, as a pure function.
//
//   JobTickPlan plan = planJobTurn({.jobs = jobs, .hosts = hosts, ...}, {});
//   // commit plan.changes and plan.teamCounts together, then send the commands
//
// Reports must have been read before the jobs' rows, so that a report without a row is of a run
// whose end was recorded. Starts and other changes have separate bounds in a turn: ten thousand
// cancellations don't hold up a start.
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
    bool isOpen = true; // serving and live
    bool isDraining = false; // jobs that may be run again leave it
};

struct JobTeam
{
    std::string name;
    double share = 1;
    std::uint32_t ceiling = 0; // 0: none
};

using TaskReports = std::unordered_map<std::string, TaskReport>; // by task name, newest attempt

struct JobTickInput
{
    std::span<const LiveJob> jobs;
    std::span<const JobHost> hosts;
    bool isPoolComplete = true; // the capacity of each host of the pool is known
    std::span<const JobTeam> teams;
    const std::map<std::string, TeamCount> &teamCounts;
    const TaskReports &reports;
    const std::set<std::string, std::less<>> &quarantined; // hosts
    const UsageLearner &learner;
    TimePoint now;
    std::function<TimePoint(const TaskId &)> startedAt; // when this process first knew of the run
};

struct JobTickOptions
{
    std::size_t maxStarts = 128; // in a turn
    std::size_t maxChanges = 256; // other changes in a turn
    Duration reportLag = std::chrono::seconds(10);
    JobStepOptions step;
    PlacementOptions placement;
};

struct JobChange
{
    std::size_t job = 0; // index into the jobs
    JobRow after;
};

struct JobTickPlan
{
    std::vector<JobChange> changes;
    std::map<std::string, std::uint32_t> teamCounts; // those that change
    std::vector<std::size_t> restarts; // placed, with no report of the run
    std::vector<std::size_t> stops; // runs that must end
    std::vector<std::size_t> running; // runs whose leases are to be renewed
    bool hasMore = false; // a bound of the turn was reached
};

// O(j log j) in the jobs, and the cost of planPlacement().
JobTickPlan planJobTurn(const JobTickInput &input, const JobTickOptions &options);

// Class of a job for UsageLearner.
std::string usageClass(const JobRow &row);

} // namespace sequoiapier
