// planPlacement: assigns a pool's waiting jobs to hosts, as a pure function.
//
//   PlacementPlan plan = planPlacement({.hosts = hosts, .jobs = jobs, .teams = teams}, {});
//   for (const Assignment &a : plan.assignments)
//       start(jobs[a.job], hosts[a.host]);
//
// The team with the lowest weighted dominant share is served next; within a team, jobs are served
// by priority. A job goes to one of the fullest warm hosts with room; an idle host is used only if
// no warm host has room. Running jobs are not moved.
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
    Resources load; // From hostLoad().
    bool isWarm = false; // The host runs jobs or is kept ready.
    bool isOpen = true; // The host is serving, live and not quarantined.
    std::uint32_t unlearned = 0; // Running jobs of classes that are not learned yet.
};

struct PlacementJob
{
    std::string id;
    std::size_t team = 0; // Index into PlacementInput::teams.
    std::uint32_t priority = 0; // Higher values go first within the team.
    Resources estimate; // From UsageLearner.
    bool isLearned = true; // The estimate is based on reports of the job's class.
};

struct PlacementTeam
{
    std::string name;
    double share = 1; // Weight of the team in a full pool.
    Resources used; // Usage of its running jobs.
    std::uint32_t running = 0; // Running jobs in the whole fleet.
    std::uint32_t ceiling = 0; // Most running jobs in the whole fleet; 0: no ceiling.
};

struct PlacementInput
{
    std::span<const PlacementHost> hosts;
    std::span<const PlacementJob> jobs;
    std::span<const PlacementTeam> teams;
};

struct PlacementOptions
{
    double fillLimit = 0.9; // Fraction of a host's capacity that is filled.
    std::size_t maxCandidates = 4; // Hosts with room that are compared for a job.
    std::uint32_t maxUnlearned = 2; // Jobs of classes not learned yet, per host.
};

struct Assignment
{
    std::size_t job = 0;
    std::size_t host = 0;
};

struct WaitingJob
{
    std::size_t job = 0;
    ResultCode code = ResultCode::JobWaiting; // Or JobNeverFits, TeamCeilingReached.
    std::string reason;
};

struct PlacementPlan
{
    std::vector<Assignment> assignments;
    std::vector<WaitingJob> waiting;
    std::size_t warmHosts = 0; // Warm hosts after the assignments.
};

// Cost for j jobs and h hosts: O(j log j + j log h) if room is found at once, O(j h) at worst.
PlacementPlan planPlacement(const PlacementInput &input, const PlacementOptions &options);

} // namespace sequoiapier
