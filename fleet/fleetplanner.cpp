#include "fleet/fleetplanner.h"

#include "fleet/spareplanner.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>

namespace sequoiapier {

namespace {

const FleetPool *findPool(const FleetView &view, const std::string &name)
{
    const auto found = view.pools.find(name);
    return found != view.pools.end() ? &found->second : nullptr;
}

bool isIdle(const FleetHost &host, const FleetPool &pool)
{
    return pool.isStandby || pool.idle.contains(host.runner);
}

// Returns how many hosts have to be in progress at once so that the `remaining` hosts of the wave
// meet its deadline.
std::size_t targetConcurrency(const WaveState &wave, std::size_t remaining,
                              const MaintenanceOptions &options, TimePoint now)
{
    const Duration left = wave.deadline - now - options.cycle;
    if (left <= options.cycle)
        return remaining;
    const double rounds = double(left.count()) / double(options.cycle.count());
    return std::size_t(std::ceil(options.rateFactor * double(remaining) / rounds));
}

struct WaveProgress
{
    std::size_t all = 0; // hosts in progress
    std::size_t inPools = 0; // those of them that were not off
};

WaveProgress countHostsInProgress(const FleetView &view, std::uint64_t wave)
{
    WaveProgress progress;
    for (const FleetHost &host : view.hosts) {
        const auto operation = view.operations.find(host.name);
        if (operation == view.operations.end()
            || operation->second.kind != HostOperationKind::Maintenance
            || operation->second.wave != wave) {
            continue;
        }
        const FleetPool *pool = findPool(view, host.pool);
        ++progress.all;
        progress.inPools += pool != nullptr && pool->isStandby ? 0 : 1;
    }
    return progress;
}

std::map<std::string, std::uint32_t> hostsByPool(const FleetView &view)
{
    std::map<std::string, std::uint32_t> counts;
    for (const FleetHost &host : view.hosts)
        ++counts[host.pool];
    return counts;
}

// Counts the hosts of each pool that are not up or have an operation in progress.
std::map<std::string, std::uint32_t> countUnavailableHosts(const FleetView &view)
{
    std::map<std::string, std::uint32_t> counts;
    for (const FleetHost &host : view.hosts) {
        if (view.operations.contains(host.name) || host.state != FleetHostState::Up)
            ++counts[host.pool];
    }
    return counts;
}

// Returns the hosts whose maintenance may begin. Hosts in pools come first: they have to be
// emptied, a few at a time, while hosts that are off can go at any moment.
std::vector<const FleetHost *> maintenanceCandidates(const FleetView &view, const WaveState &wave)
{
    std::vector<const FleetHost *> hosts;
    const std::set<std::string> ordered(wave.order.hosts.begin(), wave.order.hosts.end());
    for (const FleetHost &host : view.hosts) {
        const bool isDue = ordered.contains(host.name) && !wave.begun.contains(host.name)
            && host.state == FleetHostState::Up && !view.operations.contains(host.name);
        const FleetPool *pool = findPool(view, host.pool);
        if (isDue && pool != nullptr && (pool->isStandby || pool->isKnown))
            hosts.push_back(&host);
    }
    // In pools, idle hosts come first, then hosts of the pool with the lowest demand per runner.
    const auto rank = [&](const FleetHost *host) {
        const FleetPool &pool = *findPool(view, host->pool);
        const double pressure = pool.runners > 0 ? pool.needed / pool.runners : 0;
        return std::tuple(pool.isStandby, !isIdle(*host, pool), pressure, host->name);
    };
    std::sort(hosts.begin(), hosts.end(),
              [&](const FleetHost *a, const FleetHost *b) { return rank(a) < rank(b); });
    return hosts;
}

// Returns the hosts that can leave the pool now; the caller takes them from the end. Hosts that are
// due for maintenance leave the spare pool last and leave other pools first, since their
// maintenance is easier while they are off.
std::vector<std::string> movableHosts(const FleetView &view, const std::string &name)
{
    const FleetPool &pool = view.pools.at(name);
    std::vector<std::string> hosts;
    for (const FleetHost &host : view.hosts) {
        if (host.pool == name && host.state == FleetHostState::Up
            && !view.operations.contains(host.name) && isIdle(host, pool)) {
            hosts.push_back(host.name);
        }
    }
    std::stable_partition(hosts.begin(), hosts.end(), [&](const std::string &host) {
        return view.due.contains(host) == pool.isStandby;
    });
    return hosts;
}

std::uint32_t roundUpRunners(double amount)
{
    return std::uint32_t(std::ceil(std::max(amount, 0.0)));
}

} // namespace

std::vector<std::string> remainingHosts(const WaveState &wave, std::span<const FleetHost> hosts)
{
    std::set<std::string_view> names;
    for (const FleetHost &host : hosts)
        names.insert(host.name);
    std::vector<std::string> remaining;
    for (const std::string &name : wave.order.hosts) {
        if (names.contains(name) && !wave.begun.contains(name))
            remaining.push_back(name);
    }
    return remaining;
}

std::vector<HostOperation> planMaintenance(const FleetView &view,
                                           const std::map<std::uint64_t, WaveState> &waves,
                                           const MaintenanceOptions &options, TimePoint now)
{
    std::vector<HostOperation> next;
    const std::map<std::string, std::uint32_t> hosts = hostsByPool(view);
    std::map<std::string, std::uint32_t> unavailable = countUnavailableHosts(view);
    std::map<std::string, std::uint32_t> begunByPool; // operations chosen in this call
    for (const auto &[key, state] : waves) {
        const std::uint64_t number = key;
        const WaveState &wave = state;
        const std::vector<const FleetHost *> due = maintenanceCandidates(view, wave);
        const WaveProgress progress = countHostsInProgress(view, number);
        const auto inPools = std::size_t(std::count_if(due.begin(), due.end(), [&](const auto *h) {
            return !findPool(view, h->pool)->isStandby;
        }));
        const std::size_t target
            = targetConcurrency(wave, inPools + progress.inPools, options, now);
        const bool isLate = wave.deadline - now < 2 * options.cycle;
        const auto headroom
            = [](std::size_t bound, std::size_t used) { return bound > used ? bound - used : 0; };
        std::size_t freeSlots = headroom(wave.order.maxOut, progress.all);
        std::size_t freePoolSlots = headroom(target, progress.inPools);
        for (const FleetHost *host : due) {
            if (freeSlots == 0)
                break;
            const FleetPool &pool = *findPool(view, host->pool);
            const auto maxUnavailable = std::max(
                1U, std::uint32_t(options.maxPoolFraction * double(hosts.at(host->pool))));
            if (!isLate && unavailable[host->pool] >= maxUnavailable)
                continue;
            // A pool at its peak demand needs all its hosts; they go when the peak is over.
            const double remainingRunners = double(pool.runners) - begunByPool[host->pool] - 1;
            if (!pool.isStandby && !isLate && pool.needed > remainingRunners)
                continue;
            // Tasks that must run apart would have no runner to move to, and this host would not
            // become empty, although it could have run some of them.
            if (!pool.isStandby
                && (freePoolSlots == 0
                    || pool.runners <= pool.lastingSpread + begunByPool[host->pool])) {
                continue;
            }
            freePoolSlots -= pool.isStandby ? 0 : 1;
            ++begunByPool[host->pool];
            ++unavailable[host->pool];
            --freeSlots;
            next.push_back({.host = host->name, .wave = number});
        }
    }
    return next;
}

std::vector<HostOperation> planMoves(const FleetView &view, const FleetWeights &weights,
                                     const MoveOptions &options)
{
    SpareInput input{.stepSeconds = options.stepSeconds, .moveSteps = options.moveSteps};
    std::vector<std::string> names;
    for (const auto &[name, pool] : view.pools) {
        if (!pool.isStandby && !pool.isKnown)
            continue; // no moves into or out of a pool whose demand is unknown
        names.push_back(name);
        PoolForecast forecast{.isStandby = pool.isStandby};
        forecast.arriving.resize(options.moveSteps + 1);
        for (const FleetHost &host : view.hosts) {
            const auto operation = view.operations.find(host.name);
            const bool isMoving = operation != view.operations.end()
                && operation->second.kind == HostOperationKind::Move;
            const std::string &poolName = isMoving ? operation->second.pool : host.pool;
            if (poolName != name || host.state == FleetHostState::Down)
                continue;
            const bool isServing
                = host.state == FleetHostState::Up && operation == view.operations.end();
            ++(isServing ? forecast.hosts : forecast.arriving[options.moveSteps]);
        }
        std::uint32_t need = 0;
        if (!pool.isStandby)
            need = std::max(roundUpRunners(pool.needed + options.reserve), pool.lastingSpread + 1);
        forecast.need.assign(options.horizonSteps, need);
        const std::uint32_t laterNeed
            = pool.isStandby ? 0 : std::min(need, std::max(need / 2, pool.lastingSpread + 1));
        for (std::size_t step = options.holdSteps; step < options.horizonSteps; ++step)
            forecast.need[step] = laterNeed;
        input.pools.push_back(std::move(forecast));
    }
    std::vector<HostOperation> next;
    // Hosts by pool name; the next host to move is the last.
    std::map<std::string, std::vector<std::string>> movable;
    for (const HostTransfer &transfer : planHostTransfers(input, weights).now) {
        const std::string &from = names[transfer.from];
        const auto [found, isNew] = movable.try_emplace(from);
        if (isNew)
            found->second = movableHosts(view, from);
        std::vector<std::string> &hosts = found->second;
        for (std::uint32_t left = transfer.count; left > 0 && !hosts.empty(); --left) {
            next.push_back({.host = hosts.back(),
                            .kind = HostOperationKind::Move,
                            .pool = names[transfer.to]});
            hosts.pop_back();
        }
    }
    return next;
}

} // namespace sequoiapier
