// Measures the roll-out time of a maintenance wave, and the buffer and moves of the spare planner
// over the demand swings of five queues, each against a bound computed with full knowledge of the
// input. There are 50 hosts, four per rack, in three zones; two hosts and one rack are lost
// mid-wave.
#include "bench/support/report.h"
#include "controller/hostmove.h"
#include "controller/waveplanner.h"
#include "fleet/fleetweights.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <random>

namespace sequoiapier {
namespace {

constexpr int HostCount = 50;
constexpr std::int64_t TickSeconds = 5;
constexpr std::int64_t RebootSeconds = 180;
constexpr std::uint32_t MaxOut = 6;
constexpr double MaxEstimateFactor = 8; // factor by which an estimate may be wrong

struct LossPeriod
{
    std::int64_t from = 0;
    std::int64_t until = 0;

    bool contains(std::int64_t now) const { return now >= from && now < until; }
};

struct SimulatedHost
{
    WaveHost view;
    std::int64_t drainSeconds = 0;
    std::int64_t changedAt = 0;
    LossPeriod loss;

    std::int64_t outSeconds() const { return drainSeconds + RebootSeconds; }
};

using Estimate = std::function<std::int64_t(const SimulatedHost &, std::mt19937_64 &)>;

struct RollOut
{
    std::vector<SimulatedHost> hosts;
    std::map<std::string, VersionedBudgetRow> budgets;
    WaveRow wave{.id = "w",
                 .pools = {"p0", "p1", "p2", "p3", "p4", "spare"},
                 .startedAt = 1,
                 .drainTimeout = 3'600,
                 .resumesAfterRepair = true};
    LossPeriod rackLoss; // period in which the failed rack keeps the wave from starting hosts
    std::int64_t now = 1;
    bool isBudgetExceeded = false;

    RollOut(std::uint64_t seed, bool hasLosses, const Estimate &estimate, std::uint32_t maxOut)
    {
        wave.maxOut = maxOut;
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> drain(std::log(240.0), 0.7);
        for (int i = 0; i < HostCount; ++i) {
            SimulatedHost host;
            host.view.row = {.host = "h" + std::to_string(i),
                             .rack = "r" + std::to_string(i / 4),
                             .zone = "z" + std::to_string(i / 4 % 3),
                             .pool = i % 6 == 5 ? "spare" : "p" + std::to_string(i % 6)};
            host.drainSeconds = std::int64_t(std::min(1'800.0, drain(random)));
            host.view.expectedOut = estimate(host, random);
            hosts.push_back(host);
        }
        for (const SimulatedHost &host : hosts) {
            for (const std::string &domain : domainsOf(host.view.row)) {
                const std::uint32_t limit = domain.starts_with("zone/") ? 4 : 2;
                budgets[domain] = {{.domain = domain, .limit = limit}, 1};
            }
        }
        if (hasLosses)
            drawLosses(random);
    }

    void drawLosses(std::mt19937_64 &random)
    {
        std::uniform_int_distribution<std::int64_t> start(300, 1'500);
        std::uniform_int_distribution<int> anyHost(0, HostCount - 1);
        for (int i = 0; i < 2; ++i) {
            const std::int64_t from = start(random);
            hosts[std::size_t(anyHost(random))].loss = {from, from + 1'200};
        }
        const std::int64_t from = start(random);
        rackLoss = {from, from + 600};
        const std::string rack = "r" + std::to_string(anyHost(random) / 4);
        for (SimulatedHost &host : hosts) {
            if (host.view.row.rack == rack)
                host.loss = rackLoss;
        }
    }

    // Runs one tick of the wave, applies it as the commit would, and steps every live host once.
    void tick()
    {
        std::vector<WaveHost> views;
        for (SimulatedHost &host : hosts) {
            host.view.isLost = host.loss.contains(now);
            views.push_back(host.view);
        }
        std::vector<VersionedBudgetRow> rows;
        for (const auto &[domain, row] : budgets)
            rows.push_back(row);
        const WaveTick next
            = planWaveTick({.wave = wave, .version = 1, .hosts = views, .budgets = rows}, now);
        wave = next.next;
        for (const RowWrite &write : next.writes)
            apply(write);
        for (const std::string &name : next.started)
            checkBudgets(name);
        for (SimulatedHost &host : hosts)
            step(host);
        now += TickSeconds;
    }

    void apply(const RowWrite &write)
    {
        if (write.key.starts_with(BudgetKeyPrefix)) {
            const BudgetRow row = parseBudgetRow(*write.value).value();
            budgets[row.domain].row = row;
        } else if (write.key.starts_with(HostKeyPrefix)) {
            const HostRow row = parseHostRow(*write.value).value();
            for (SimulatedHost &host : hosts) {
                if (host.view.row.host == row.host)
                    setRow(host, row);
            }
        }
    }

    void setRow(SimulatedHost &host, const HostRow &row) const
    {
        if (row.state != host.view.row.state)
            host.changedAt = now;
        host.view.row = row;
    }

    void step(SimulatedHost &host) const
    {
        if (host.loss.contains(now))
            return;
        const HostRow &row = host.view.row;
        const std::int64_t secondsInState = now - host.changedAt;
        const HostObservation observation{.fencedEpoch = row.epoch,
                                          .running = secondsInState >= host.drainSeconds ? 0U : 1U,
                                          .admittedEpoch = row.epoch,
                                          .maintainedEpoch
                                          = secondsInState >= RebootSeconds ? row.epoch : 0};
        const HostStep next = nextHostStep(row, observation, now);
        if (next.action == HostAction::ChangeRow)
            setRow(host, next.row);
    }

    void checkBudgets(const std::string &name)
    {
        for (const SimulatedHost &host : hosts) {
            if (host.view.row.host != name)
                continue;
            for (const std::string &domain : domainsOf(host.view.row)) {
                const BudgetRow &row = budgets[domain].row;
                isBudgetExceeded |= row.units.size() > row.limit;
            }
        }
    }

    std::int64_t run()
    {
        while (wave.state != WaveState::Finished && now < 100'000)
            tick();
        return now;
    }

    // Lower bound of the roll-out time: no plan ends before every domain has had the unit-seconds
    // that its maintenance needs. Units of lost hosts are not free, and while a failed rack stops
    // the wave, only hosts that were already out go on.
    std::int64_t bound() const
    {
        std::int64_t longest = 0;
        std::map<std::string, std::vector<const SimulatedHost *>> domains;
        for (const SimulatedHost &host : hosts) {
            longest = std::max(longest, host.outSeconds());
            domains["wave"].push_back(&host);
            for (const std::string &domain : domainsOf(host.view.row))
                domains[domain].push_back(&host);
        }
        std::int64_t bound = longest;
        for (const auto &[domain, members] : domains) {
            const std::uint32_t limit
                = domain == "wave" ? wave.maxOut : budgets.at(domain).row.limit;
            bound = std::max(bound, domainBound(members, limit, domain != "wave"));
        }
        return bound;
    }

    std::int64_t domainBound(const std::vector<const SimulatedHost *> &members, std::int64_t limit,
                             bool countsLosses) const
    {
        std::int64_t remaining = 0;
        for (const SimulatedHost *host : members)
            remaining += host->outSeconds();
        std::int64_t time = 0;
        for (; remaining > 0; ++time) {
            const auto lost
                = std::count_if(members.begin(), members.end(), [&](const SimulatedHost *host) {
                      return host->loss.contains(time);
                  });
            std::int64_t units = std::max<std::int64_t>(0, limit - (countsLosses ? lost : 0));
            if (rackLoss.contains(time)) {
                const auto alreadyOut
                    = std::count_if(members.begin(), members.end(), [&](const SimulatedHost *host) {
                          return host->outSeconds() > time - rackLoss.from;
                      });
                units = std::min<std::int64_t>(units, alreadyOut);
            }
            remaining -= units;
        }
        return time;
    }
};

void measureRollOut(Report &report, const std::string &label, bool hasLosses,
                    const Estimate &estimate, std::uint32_t maxOut = MaxOut)
{
    constexpr int Runs = 40;
    double sum = 0;
    double worst = 0;
    double seconds = 0;
    int runsOverBudget = 0;
    for (int seed = 1; seed <= Runs; ++seed) {
        RollOut rollOut(std::uint64_t(seed), hasLosses, estimate, maxOut);
        const double bound = double(rollOut.bound());
        const double elapsed = double(rollOut.run());
        sum += elapsed / bound;
        worst = std::max(worst, elapsed / bound);
        seconds += elapsed;
        runsOverBudget += rollOut.isBudgetExceeded ? 1 : 0;
    }
    report.add(label,
               {{"rollout_s", seconds / Runs},
                {"mean_ratio_to_bound", sum / Runs},
                {"worst_ratio_to_bound", worst},
                {"runs_past_a_budget", double(runsOverBudget)}});
}

void measureRollOuts(Report &report)
{
    const Estimate exactEstimate
        = [](const SimulatedHost &host, std::mt19937_64 &) { return host.outSeconds(); };
    const Estimate inexactEstimate = [](const SimulatedHost &host, std::mt19937_64 &random) {
        std::uniform_real_distribution<double> exponent(-1, 1);
        return std::int64_t(double(host.outSeconds())
                            * std::pow(MaxEstimateFactor, exponent(random)));
    };
    const Estimate constantEstimate
        = [](const SimulatedHost &, std::mt19937_64 &) { return std::int64_t(420); };
    measureRollOut(report, "rollout no losses, times known", false, exactEstimate);
    measureRollOut(report, "rollout no losses, wrong by up to 8x", false, inexactEstimate);
    measureRollOut(report, "rollout losses, times known", true, exactEstimate);
    measureRollOut(report, "rollout losses, one time for all", true, constantEstimate);
    measureRollOut(report, "rollout losses, wrong by up to 8x", true, inexactEstimate);
    for (const FleetWeights &profile : FleetProfiles) {
        measureRollOut(report, "rollout losses, " + std::string(profile.name), true,
                       inexactEstimate, waveMaxOut(profile, MaxOut));
    }
}

// Measures one tick of a wave over the whole fleet, with four hosts per rack and 400 per pool.
void measureTicks(Report &report)
{
    for (const std::size_t count : {50U, 400U, 1'600U, 6'400U, 11'000U}) {
        std::vector<WaveHost> hosts(count);
        WaveRow wave{.id = "w", .startedAt = 1, .maxOut = 100};
        std::map<std::string, VersionedBudgetRow> budgets;
        for (std::size_t i = 0; i < count; ++i) {
            hosts[i].row = {.host = "h" + std::to_string(i),
                            .rack = "r" + std::to_string(i / 4),
                            .zone = "z" + std::to_string(i / 4 % 16),
                            .pool = "p" + std::to_string(i / 400)};
            for (const std::string &domain : domainsOf(hosts[i].row))
                budgets[domain] = {{.domain = domain, .limit = 4}, 1};
        }
        for (std::size_t pool = 0; pool <= count / 400; ++pool)
            wave.pools.push_back("p" + std::to_string(pool));
        std::vector<VersionedBudgetRow> rows;
        rows.reserve(budgets.size());
        for (const auto &[domain, row] : budgets)
            rows.push_back(row);
        double best = 1e9;
        for (int run = 0; run < 10; ++run) {
            const auto start = std::chrono::steady_clock::now();
            const WaveTick waveTick
                = planWaveTick({.wave = wave, .version = 1, .hosts = hosts, .budgets = rows}, 2);
            const std::chrono::duration<double, std::milli> elapsed
                = std::chrono::steady_clock::now() - start;
            best = waveTick.started.empty() ? best : std::min(best, elapsed.count());
        }
        report.add("wave turn hosts=" + std::to_string(count),
                   {{"ms", best}, {"us_per_host", 1'000 * best / double(count)}});
    }
}

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    sequoiapier::Report report("fleet", argc, argv);
    sequoiapier::measureTicks(report);
    sequoiapier::measureRollOuts(report);
    return report.finish();
}
