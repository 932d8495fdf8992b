// Measures the processor time per task of a pool's decisions, at the sizes of the users' two kinds
// of deployment and the demand swings of their pools: jobs of one or two steps of short tasks, some
// long tasks, and more work than the pool can hold. The runners and the store are simulated; the
// figure includes their time.
#include "bench/support/report.h"
#include "testing/support/enginepool.h"

#include <array>
#include <chrono>
#include <cmath>
#include <random>

namespace {

using namespace sequoiapier;

struct Deployment
{
    const char *label;
    int runners;
    double jobsPerSecond;
    std::uint32_t tasks; // per step
    double processors; // per task
};

constexpr std::array<Deployment, 2> Deployments{{
    {"11 runners, 37 jobs/s", 11, 37, 6, 3.5},
    {"77 runners, 115 jobs/s", 77, 115, 8, 6.2},
}};
constexpr Resources RunnerCapacity{.processors = 64, .memory = 256};
constexpr int MeasuredSeconds = 8; // about the length of a demand swing
constexpr int TicksPerSecond = 100; // jobs arrive at these ticks

jobs::JobSpec makeSpec(const Deployment &deployment, bool hasTwoSteps)
{
    jobs::StepSpec step{.count = deployment.tasks,
                        .size = {.processors = deployment.processors, .memory = 4},
                        .estimateMilliseconds = 1'000};
    jobs::JobSpec spec{.payload = "spec", .steps = {step}};
    if (hasTwoSteps) {
        step.after = {0};
        spec.steps.push_back(step);
    }
    return spec;
}

void measure(Report &report, const Deployment &deployment)
{
    EnginePool pool({.runners = deployment.runners, .capacity = RunnerCapacity});
    pool.run(std::chrono::seconds(1));
    std::mt19937 random(1);
    std::bernoulli_distribution hasTwoSteps(0.6);
    std::uint64_t jobs = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int tick = 0; tick < MeasuredSeconds * TicksPerSecond; ++tick) {
        const auto dueJobs = std::uint64_t(deployment.jobsPerSecond * (tick + 1) / TicksPerSecond);
        for (; jobs < dueJobs; ++jobs) {
            char id[17];
            std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(jobs));
            pool.submit(id, makeSpec(deployment, hasTwoSteps(random)));
        }
        pool.run(std::chrono::milliseconds(1'000 / TicksPerSecond));
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double starts = double(pool.ledger().runs().size());
    report.add(deployment.label,
               {{"starts_per_s", starts / MeasuredSeconds},
                {"us_per_start", elapsed.count() * 1e6 / std::max(starts, 1.0)},
                {"core_percent", elapsed.count() / MeasuredSeconds * 100}});
}

} // namespace

int main(int argc, char **argv)
{
    Report report("engine", argc, argv);
    for (const Deployment &deployment : Deployments)
        measure(report, deployment);
    return report.finish();
}
