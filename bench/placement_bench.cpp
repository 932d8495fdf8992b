// Compares placement with first fit, spread and count-based weights, on the same arrivals of jobs
// whose declared sizes are wrong by a factor of up to 8. Also measures the time of a decision and
// its slope with the fleet size, and the case of a newly added empty host.
#include "bench/support/placementpolicies.h"
#include "bench/support/report.h"

#include <chrono>
#include <cmath>
#include <random>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

void sampleFleet(const Fleet &fleet, Outcome &outcome, double &warmSeconds)
{
    double warmCount = 0;
    double sum = 0;
    double sumOfSquares = 0;
    double stranded = 0;
    for (const Resources &load : fleet.trueLoads()) {
        if (load.processors == 0)
            continue;
        const double processors = load.processors / HostCapacity.processors;
        const double memory = load.memory / HostCapacity.memory;
        ++warmCount;
        sum += processors;
        sumOfSquares += processors * processors;
        if (std::max(processors, memory) > 0.8)
            stranded += std::abs(processors - memory);
        outcome.overloadedFraction += std::max(processors, memory) > 1 ? 1 : 0;
    }
    warmSeconds += warmCount;
    outcome.warmHosts += warmCount;
    if (warmCount > 0) {
        outcome.loadDeviation += std::sqrt(
            std::max(0.0, sumOfSquares / warmCount - sum * sum / warmCount / warmCount));
        outcome.strandedFraction += stranded / warmCount;
    }
}

void observeUsage(Fleet &fleet, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    for (const SimulatedJob &job : fleet.running) {
        const JobClass &jobClass = fleet.classes[job.jobClass];
        if (fleet.now - job.startedAt >= ReportLag)
            fleet.learner.observe(jobClass.name, jobClass.declared, jobClass.used * noise(random));
    }
}

Outcome simulate(const Policy &policy, bool rebalances)
{
    constexpr int Steps = 1'800; // of one second each
    std::mt19937_64 random(7);
    Fleet fleet(50, jobClasses(20, random));
    std::poisson_distribution<int> arrivals(2.2);
    std::exponential_distribution<double> lifetime(1 / 120.0);
    std::uniform_int_distribution<std::size_t> anyClass(0, fleet.classes.size() - 1);
    std::vector<SimulatedJob> waiting;
    Outcome outcome;
    double warmSeconds = 0;
    double started = 0;
    for (int step = 0; step < Steps; ++step) {
        fleet.now += 1s;
        std::erase_if(fleet.running, [&](const SimulatedJob &job) {
            if (job.endsAt > fleet.now)
                return false;
            fleet.updateCounts(job, -1);
            return true;
        });
        const int count = arrivals(random);
        for (int i = 0; i < count; ++i) {
            const auto jobLifetime = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(lifetime(random)));
            waiting.push_back({.jobClass = anyClass(random),
                               .arrivedAt = fleet.now,
                               .endsAt = TimePoint(jobLifetime)});
        }
        if (step % 5 == 0)
            observeUsage(fleet, random);
        const std::vector<std::size_t> chosen = policy(fleet, waiting);
        std::vector<SimulatedJob> stillWaiting;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            SimulatedJob job = waiting[i];
            if (chosen[i] == NoHost) {
                stillWaiting.push_back(job);
                continue;
            }
            job.host = chosen[i];
            job.startedAt = fleet.now;
            job.endsAt = fleet.now + job.endsAt.time_since_epoch();
            outcome.waitSeconds += double((job.startedAt - job.arrivedAt) / 1s);
            ++started;
            fleet.running.push_back(job);
            fleet.updateCounts(job, 1);
        }
        waiting = std::move(stillWaiting);
        if (rebalances)
            outcome.moves += rebalanceByCount(fleet);
        sampleFleet(fleet, outcome, warmSeconds);
    }
    outcome.warmHosts /= Steps;
    outcome.loadDeviation /= Steps;
    outcome.strandedFraction /= Steps;
    outcome.overloadedFraction /= std::max(1.0, warmSeconds);
    outcome.waitSeconds /= std::max(1.0, started);
    return outcome;
}

void measurePolicies(Report &report)
{
    const auto addRow = [&](const std::string &label, const Policy &policy, bool rebalances) {
        const Outcome outcome = simulate(policy, rebalances);
        report.add("policy " + label,
                   {{"warm_hosts", outcome.warmHosts},
                    {"load_deviation", outcome.loadDeviation},
                    {"overloaded_part", outcome.overloadedFraction},
                    {"stranded_part", outcome.strandedFraction},
                    {"wait_s", outcome.waitSeconds},
                    {"moves", outcome.moves}});
    };
    addRow("estimated use (this project)", placeEstimated, false);
    addRow("first fit, declared sizes", FirstFit, false);
    addRow("spread, declared sizes", Spread, false);
    addRow("count weights, no rebalancing", CountWeights, false);
    addRow("count weights, rebalancing", CountWeights, true);
}

// Places ten jobs of a new class, which uses 8 times what it declares, on 19 hosts with 40 jobs
// each and one empty host.
void measureEmptyHost(Report &report)
{
    const auto addRow = [&](const std::string &label, const Policy &policy) {
        std::vector<JobClass> classes;
        classes.reserve(21);
        for (int i = 0; i < 20; ++i)
            classes.push_back({"c" + std::to_string(i), {1, 4, 0}, {1, 4, 0}});
        classes.push_back({"new", {1, 4, 0}, {8, 8, 0}});
        Fleet fleet(20, classes);
        for (std::size_t host = 0; host < 19; ++host) {
            for (std::size_t i = 0; i < 40; ++i) {
                fleet.running.push_back(
                    {.jobClass = i % 20, .host = host, .startedAt = fleet.now - 60s});
                fleet.updateCounts(fleet.running.back(), 1);
            }
        }
        std::mt19937_64 random(7);
        observeUsage(fleet, random);
        const std::vector<SimulatedJob> waiting(10, {.jobClass = 20});
        double jobsOnEmptyHost = 0;
        for (const std::size_t host : policy(fleet, waiting)) {
            jobsOnEmptyHost += host == 19 ? 1 : 0;
            if (host != NoHost)
                fleet.running.push_back({.jobClass = 20, .host = host});
        }
        double worst = 0;
        for (const Resources &load : fleet.trueLoads())
            worst = std::max(worst, dominantShare(load, HostCapacity));
        report.add("empty host " + label,
                   {{"new_jobs_on_it_of_10", jobsOnEmptyHost}, {"fullest_host_true_use", worst}});
    };
    addRow("estimated use (this project)", placeEstimated);
    addRow("first fit", FirstFit);
    addRow("spread", Spread);
    addRow("count weights", CountWeights);
}

// Returns the shortest time of several decisions over each pool in turn, in milliseconds.
double decisionMilliseconds(std::size_t hostCount, std::size_t jobCount, std::size_t pools)
{
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> cores(0.25, 3);
    std::uniform_real_distribution<double> memory(1, 12);
    std::vector<PlacementTeam> teams(6);
    std::vector<PlacementHost> hosts;
    hosts.reserve(hostCount / pools);
    for (std::size_t i = 0; i < hostCount / pools; ++i) {
        hosts.push_back({.name = std::to_string(i),
                         .capacity = HostCapacity,
                         .load = {cores(random) * 4, memory(random) * 4, 0},
                         .isWarm = i % 2 == 0});
    }
    std::vector<PlacementJob> jobs;
    jobs.reserve(jobCount / pools);
    for (std::size_t i = 0; i < jobCount / pools; ++i)
        jobs.push_back({.team = i % teams.size(), .estimate = {cores(random), memory(random), 0}});
    double best = 1e9;
    for (int run = 0; run < 5; ++run) {
        const auto start = std::chrono::steady_clock::now();
        std::size_t placed = 0;
        for (std::size_t pool = 0; pool < pools; ++pool)
            placed += planPlacement({hosts, jobs, teams}, {}).assignments.size();
        const std::chrono::duration<double, std::milli> elapsed
            = std::chrono::steady_clock::now() - start;
        best = placed > 0 ? std::min(best, elapsed.count()) : best;
    }
    return best;
}

void measureDecisions(Report &report)
{
    struct Size
    {
        std::size_t hosts;
        std::size_t pools;
    };
    for (const Size size : {Size{50, 1}, Size{400, 1}, Size{1'600, 4}, Size{6'400, 16},
                            Size{11'000, 28}, Size{11'000, 1}}) {
        const std::size_t jobs = size.hosts * 40;
        const double elapsed = decisionMilliseconds(size.hosts, jobs, size.pools);
        report.add("decision hosts=" + std::to_string(size.hosts)
                       + " pools=" + std::to_string(size.pools) + " jobs=" + std::to_string(jobs),
                   {{"ms", elapsed}, {"us_per_host", 1'000 * elapsed / double(size.hosts)}});
    }
}

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    sequoiapier::Report report("placement", argc, argv);
    sequoiapier::measureDecisions(report);
    sequoiapier::measurePolicies(report);
    sequoiapier::measureEmptyHost(report);
    return report.finish();
}
