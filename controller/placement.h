// Placement: which waiting job of a pool starts on which host, as a pure function.
//
//   PlacementPlan plan = planPlacement({.hosts = hosts, .jobs = jobs, .teams = teams}, {});
//   for (const Assignment &a : plan.assignments)
//       start(jobs[a.job], hosts[a.host]);
//
// Teams take turns by weighted dominant share, a team's jobs by priority. Jobs go to the fullest
// warm host with room; an idle host is woken only when no warm one has room. Running jobs stay.
#pragma once

#include "sequoiapier/resources.h"
#include "sequoiapier/resultcode.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

struct PlacementHost
{
    std::string name;
    Resources capacity;
    Resources load; // of hostLoad()
    bool isWarm = false; // runs something, or is kept ready
    bool isOpen = true; // serving, live and not quarantined
    std::uint32_t unlearned = 0; // running jobs of classes that are not learned yet
};

struct PlacementJob
{
    std::string id;
    std::size_t team = 0; // index into the teams
    std::uint32_t priority = 0; // greater goes first within its team
    Resources estimate; // of UsageLearner
    bool isLearned = true; // the estimate rests on reports of the job's class
};

struct PlacementTeam
{
    std::string name;
    double share = 1; // weight when the pool is full
    Resources used; // by its running jobs
    std::uint32_t running = 0; // over the whole fleet
    std::uint32_t ceiling = 0; // most running over the whole fleet, 0: no ceiling
};

struct PlacementInput
{
    std::span<const PlacementHost> hosts;
    std::span<const PlacementJob> jobs;
    std::span<const PlacementTeam> teams;
};

struct PlacementOptions
{
    double fillLimit = 0.9; // part of a host's capacity that is filled
    std::size_t maxCandidates = 4; // hosts with room that are compared for a job
    std::uint32_t maxUnlearned = 2; // jobs on a host whose class is not learned yet
};

struct Assignment
{
    std::size_t job = 0;
    std::size_t host = 0;
};

struct WaitingJob
{
    std::size_t job = 0;
    ResultCode code = ResultCode::JobWaiting; // or JobNeverFits, TeamCeilingReached
    std::string reason;
};

struct PlacementPlan
{
    std::vector<Assignment> assignments;
    std::vector<WaitingJob> waiting;
    std::size_t warmHosts = 0; // after the assignments
};

// Cost O(j log j + j log h) in jobs and hosts where room is found at once, O(j h) at the worst.
PlacementPlan planPlacement(const PlacementInput &input, const PlacementOptions &options);

} // namespace sequoiapier
