// Placement policies on a simulated fleet: this project's policy and the baselines that it is
// compared with.
#pragma once

#include "controller/hostload.h"
#include "controller/placement.h"
#include "controller/usagelearner.h"

#include <cmath>
#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace sequoiapier {

inline constexpr Resources HostCapacity{64, 256, 0};
inline constexpr Duration ReportLag = std::chrono::seconds(10);
inline constexpr std::size_t NoHost = std::size_t(-1);

struct JobClass
{
    std::string name;
    Resources declared;
    Resources used;
};

struct SimulatedJob
{
    std::size_t jobClass = 0;
    std::size_t host = NoHost;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint endsAt;
};

struct Outcome
{
    double warmHosts = 0; // mean number
    double loadDeviation = 0; // standard deviation of processor use over the warm hosts, mean
    double overloadedFraction = 0; // part of the warm host-seconds with use above the capacity
    double strandedFraction = 0; // mean free part of one resource where the other is short
    double waitSeconds = 0; // mean per job
    double moves = 0;
};

inline std::vector<JobClass> jobClasses(std::size_t count, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> exponent(-1, 1);
    std::uniform_real_distribution<double> cores(0, 3);
    std::vector<JobClass> classes;
    for (std::size_t i = 0; i < count; ++i) {
        const Resources used{std::exp2(cores(random)), std::exp2(cores(random) + 2), 0};
        classes.push_back({"c" + std::to_string(i),
                           {used.processors * std::pow(8, exponent(random)),
                            used.memory * std::pow(8, exponent(random)), 0},
                           used});
    }
    return classes;
}

// The fleet's state, which every policy sees.
struct Fleet
{
    std::vector<JobClass> classes;
    std::size_t hostCount = 0;
    std::vector<SimulatedJob> running;
    std::vector<std::vector<std::size_t>> classCounts; // number of jobs by host and class
    std::vector<std::size_t> counts; // number of jobs by host
    UsageLearner learner{{}};
    TimePoint now{std::chrono::hours(1)};

    Fleet(std::size_t hosts, std::vector<JobClass> jobClasses)
        : classes(std::move(jobClasses))
        , hostCount(hosts)
        , classCounts(hosts, std::vector<std::size_t>(classes.size()))
        , counts(hosts)
    { }

    void updateCounts(const SimulatedJob &job, int change)
    {
        counts[job.host] += std::size_t(change);
        classCounts[job.host][job.jobClass] += std::size_t(change);
    }

    std::vector<Resources> declaredLoads() const
    {
        std::vector<Resources> loads(hostCount);
        for (const SimulatedJob &job : running)
            loads[job.host] += classes[job.jobClass].declared;
        return loads;
    }
    std::vector<Resources> trueLoads() const
    {
        std::vector<Resources> loads(hostCount);
        for (const SimulatedJob &job : running)
            loads[job.host] += classes[job.jobClass].used;
        return loads;
    }
};

// Chooses a host for each waiting job, or NoHost to let the job wait.
using Policy = std::function<std::vector<std::size_t>(Fleet &, const std::vector<SimulatedJob> &)>;

inline std::vector<std::size_t> placeEstimated(Fleet &fleet,
                                               const std::vector<SimulatedJob> &waiting)
{
    std::vector<std::vector<RunningJob>> jobsByHost(fleet.hostCount);
    std::vector<std::uint32_t> unlearned(fleet.hostCount);
    for (const SimulatedJob &job : fleet.running) {
        const JobClass &jobClass = fleet.classes[job.jobClass];
        RunningJob running{fleet.learner.estimate(jobClass.name, jobClass.declared), job.startedAt};
        if (fleet.now - job.startedAt >= ReportLag)
            running.reported = jobClass.used;
        jobsByHost[job.host].push_back(running);
        unlearned[job.host] += fleet.learner.isLearned(jobClass.name) ? 0 : 1;
    }
    std::vector<PlacementHost> hosts;
    for (std::size_t i = 0; i < fleet.hostCount; ++i) {
        hosts.push_back({.name = std::to_string(i),
                         .capacity = HostCapacity,
                         .load = hostLoad(jobsByHost[i], fleet.now, ReportLag),
                         .isWarm = !jobsByHost[i].empty(),
                         .unlearned = unlearned[i]});
    }
    std::vector<PlacementJob> jobs;
    for (const SimulatedJob &job : waiting) {
        const JobClass &jobClass = fleet.classes[job.jobClass];
        jobs.push_back({.estimate = fleet.learner.estimate(jobClass.name, jobClass.declared),
                        .isLearned = fleet.learner.isLearned(jobClass.name)});
    }
    const std::vector<PlacementTeam> teams{{.name = "a"}};
    std::vector<std::size_t> chosen(waiting.size(), NoHost);
    for (const Assignment &assignment :
         planPlacement({.hosts = hosts, .jobs = jobs, .teams = teams}, {}).assignments)
        chosen[assignment.job] = assignment.host;
    return chosen;
}

// Baseline that chooses the host of least cost among those with room for the declared size.
inline Policy leastCostPolicy(std::function<double(const Fleet &, std::size_t host,
                                                   std::size_t jobClass, const Resources &load)>
                                  cost)
{
    return [cost](Fleet &fleet, const std::vector<SimulatedJob> &waiting) {
        std::vector<Resources> loads = fleet.declaredLoads();
        std::vector<std::size_t> chosen;
        Fleet plannedFleet = fleet;
        for (const SimulatedJob &job : waiting) {
            const Resources &need = fleet.classes[job.jobClass].declared;
            std::size_t best = NoHost;
            double bestCost = 0;
            for (std::size_t host = 0; host < fleet.hostCount; ++host) {
                Resources load = loads[host];
                load += need;
                const double hostCost = cost(plannedFleet, host, job.jobClass, loads[host]);
                if (load.fitsInto(HostCapacity) && (best == NoHost || hostCost < bestCost)) {
                    best = host;
                    bestCost = hostCost;
                }
            }
            if (best != NoHost) {
                loads[best] += need;
                plannedFleet.updateCounts({.jobClass = job.jobClass, .host = best}, 1);
            }
            chosen.push_back(best);
        }
        return chosen;
    };
}

// The cost function of the paper: theta0 * (jobs on host - mean) + theta1 * (jobs of class on host
// - mean).
inline double countWeight(const Fleet &fleet, std::size_t host, std::size_t jobClass)
{
    constexpr double Theta0 = 0.45;
    constexpr double Theta1 = 0.55;
    double total = 0;
    double classTotal = 0;
    for (std::size_t i = 0; i < fleet.hostCount; ++i) {
        total += double(fleet.counts[i]);
        classTotal += double(fleet.classCounts[i][jobClass]);
    }
    const double hosts = double(fleet.hostCount);
    return Theta0 * (double(fleet.counts[host]) - total / hosts)
        + Theta1 * (double(fleet.classCounts[host][jobClass]) - classTotal / hosts);
}

// Moves jobs from the heaviest to the lightest host while the weights differ by more than the
// threshold, at most MaxMoves per call. Returns the number of moves.
inline int rebalanceByCount(Fleet &fleet)
{
    constexpr double Threshold = 1;
    constexpr int MaxMoves = 2;
    int moves = 0;
    for (SimulatedJob &job : fleet.running) {
        std::size_t lightest = job.host;
        for (std::size_t host = 0; host < fleet.hostCount; ++host) {
            if (countWeight(fleet, host, job.jobClass) < countWeight(fleet, lightest, job.jobClass))
                lightest = host;
        }
        const double difference = countWeight(fleet, job.host, job.jobClass)
            - countWeight(fleet, lightest, job.jobClass);
        if (difference <= 1 + Threshold)
            continue;
        fleet.updateCounts(job, -1);
        job.host = lightest;
        fleet.updateCounts(job, 1);
        if (++moves == MaxMoves)
            break;
    }
    return moves;
}

inline const Policy FirstFit = leastCostPolicy(
    [](const Fleet &, std::size_t host, std::size_t, const Resources &) { return double(host); });
inline const Policy Spread
    = leastCostPolicy([](const Fleet &, std::size_t, std::size_t, const Resources &load) {
          return dominantShare(load, HostCapacity);
      });
inline const Policy CountWeights
    = leastCostPolicy([](const Fleet &fleet, std::size_t host, std::size_t jobClass,
                         const Resources &) { return countWeight(fleet, host, jobClass); });

} // namespace sequoiapier
