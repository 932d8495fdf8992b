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

// The rate at which `remaining` hosts of the wave are in time, as hosts on their way at once.
std::size_t pace(const WaveState &wave, std::size_t remaining, const MaintenanceOptions &options,
                 TimePoint now)
{
    const Duration left = wave.deadline - now - options.cycle;
    if (left <= options.cycle)
        return remaining;
    const double rounds = double(left.count()) / double(options.cycle.count());
    return std::size_t(std::ceil(options.haste * double(remaining) / rounds));
}

struct WaveUnderWay
{
    std::size_t all = 0; // hosts on their way
    std::size_t inPools = 0; // of these, hosts that were not off
};

WaveUnderWay hostsUnderWay(const FleetView &view, std::uint64_t wave)
{
    WaveUnderWay underWay;
    for (const FleetHost &host : view.hosts) {
        const auto errand = view.errands.find(host.name);
        if (errand == view.errands.end() || errand->second.kind != ErrandKind::Maintenance
            || errand->second.wave != wave) {
            continue;
        }
        const FleetPool *pool = findPool(view, host.pool);
        ++underWay.all;
        underWay.inPools += pool != nullptr && pool->isStandby ? 0 : 1;
    }
    return underWay;
}

std::map<std::string, std::uint32_t> hostsByPool(const FleetView &view)
{
    std::map<std::string, std::uint32_t> counts;
    for (const FleetHost &host : view.hosts)
        ++counts[host.pool];
    return counts;
}

// Hosts of each pool that are on errands.
std::map<std::string, std::uint32_t> hostsOnErrands(const FleetView &view)
{
    std::map<std::string, std::uint32_t> counts;
    for (const FleetHost &host : view.hosts) {
        if (view.errands.contains(host.name) || host.state != FleetHostState::Up)
            ++counts[host.pool];
    }
    return counts;
}

// Hosts whose maintenance may begin, those in pools first: they have to be emptied, a few at a
// time, while hosts that are off can go at any moment.
std::vector<const FleetHost *> candidates(const FleetView &view, const WaveState &wave)
{
    std::vector<const FleetHost *> hosts;
    const std::set<std::string> ordered(wave.order.hosts.begin(), wave.order.hosts.end());
    for (const FleetHost &host : view.hosts) {
        const bool isDue = ordered.contains(host.name) && !wave.begun.contains(host.name)
            && host.state == FleetHostState::Up && !view.errands.contains(host.name);
        const FleetPool *pool = findPool(view, host.pool);
        if (isDue && pool != nullptr && (pool->isStandby || pool->isKnown))
            hosts.push_back(&host);
    }
    // In pools, unused hosts first, then those of the pool with the most room.
    const auto rank = [&](const FleetHost *host) {
        const FleetPool &pool = *findPool(view, host->pool);
        const double pressure = pool.runners > 0 ? pool.needed / pool.runners : 0;
        return std::tuple(pool.isStandby, !isIdle(*host, pool), pressure, host->name);
    };
    std::sort(hosts.begin(), hosts.end(),
              [&](const FleetHost *a, const FleetHost *b) { return rank(a) < rank(b); });
    return hosts;
}

// Hosts of the pool that can leave it now, the last ones first: into use go hosts that stay there,
// out of it those whose maintenance is easier while they are off.
std::vector<std::string> movableHosts(const FleetView &view, const std::string &name)
{
    const FleetPool &pool = view.pools.at(name);
    std::vector<std::string> hosts;
    for (const FleetHost &host : view.hosts) {
        if (host.pool == name && host.state == FleetHostState::Up
            && !view.errands.contains(host.name) && isIdle(host, pool)) {
            hosts.push_back(host.name);
        }
    }
    std::stable_partition(hosts.begin(), hosts.end(), [&](const std::string &host) {
        return view.due.contains(host) == pool.isStandby;
    });
    return hosts;
}

std::uint32_t wholeRunners(double amount)
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

std::vector<HostErrand> planMaintenance(const FleetView &view,
                                        const std::map<std::uint64_t, WaveState> &waves,
                                        const MaintenanceOptions &options, TimePoint now)
{
    std::vector<HostErrand> next;
    const std::map<std::string, std::uint32_t> hosts = hostsByPool(view);
    std::map<std::string, std::uint32_t> out = hostsOnErrands(view);
    std::map<std::string, std::uint32_t> begun; // by pool, now
    for (const auto &[key, state] : waves) {
        const std::uint64_t number = key;
        const WaveState &wave = state;
        const std::vector<const FleetHost *> due = candidates(view, wave);
        const WaveUnderWay underWay = hostsUnderWay(view, number);
        const auto inPools = std::size_t(std::count_if(due.begin(), due.end(), [&](const auto *h) {
            return !findPool(view, h->pool)->isStandby;
        }));
        const std::size_t target = pace(wave, inPools + underWay.inPools, options, now);
        const bool isLate = wave.deadline - now < 2 * options.cycle;
        const auto room
            = [](std::size_t bound, std::size_t used) { return bound > used ? bound - used : 0; };
        std::size_t free = room(wave.order.maxOut, underWay.all);
        std::size_t freeInPools = room(target, underWay.inPools);
        for (const FleetHost *host : due) {
            if (free == 0)
                break;
            const FleetPool &pool = *findPool(view, host->pool);
            const auto most
                = std::max(1U, std::uint32_t(options.maxPartOfPool * double(hosts.at(host->pool))));
            if (!isLate && out[host->pool] >= most)
                continue;
            // A pool in its turn needs all its hosts; they go when it is over.
            const double staying = double(pool.runners) - begun[host->pool] - 1;
            if (!pool.isStandby && !isLate && pool.needed > staying)
                continue;
            // Tasks that must be apart would have no runner to go to, and the host would wait for
            // them while it could have taken them.
            if (!pool.isStandby
                && (freeInPools == 0 || pool.runners <= pool.lastingSpread + begun[host->pool])) {
                continue;
            }
            freeInPools -= pool.isStandby ? 0 : 1;
            ++begun[host->pool];
            ++out[host->pool];
            --free;
            next.push_back({.host = host->name, .wave = number});
        }
    }
    return next;
}

std::vector<HostErrand> planMoves(const FleetView &view, const FleetWeights &weights,
                                  const MoveOptions &options)
{
    SpareInput input{.stepSeconds = options.stepSeconds, .moveSteps = options.moveSteps};
    std::vector<std::string> names;
    for (const auto &[name, pool] : view.pools) {
        if (!pool.isStandby && !pool.isKnown)
            continue; // nothing is moved in or out
        names.push_back(name);
        PoolForecast forecast{.isSpare = pool.isStandby};
        forecast.arriving.resize(options.moveSteps + 1);
        for (const FleetHost &host : view.hosts) {
            const auto errand = view.errands.find(host.name);
            const bool isMoving
                = errand != view.errands.end() && errand->second.kind == ErrandKind::Move;
            const std::string &where = isMoving ? errand->second.pool : host.pool;
            if (where != name || host.state == FleetHostState::Down)
                continue;
            const bool isThere = host.state == FleetHostState::Up && errand == view.errands.end();
            ++(isThere ? forecast.hosts : forecast.arriving[options.moveSteps]);
        }
        std::uint32_t need = 0;
        if (!pool.isStandby)
            need = std::max(wholeRunners(pool.needed + options.reserve), pool.lastingSpread + 1);
        forecast.need.assign(options.horizonSteps, need);
        const std::uint32_t later
            = pool.isStandby ? 0 : std::min(need, std::max(need / 2, pool.lastingSpread + 1));
        for (std::size_t step = options.holdSteps; step < options.horizonSteps; ++step)
            forecast.need[step] = later;
        input.pools.push_back(std::move(forecast));
    }
    std::vector<HostErrand> next;
    std::map<std::string, std::vector<std::string>> movable; // by pool, as they are to go
    for (const HostTransfer &transfer : planSpare(input, weights).now) {
        const std::string &from = names[transfer.from];
        const auto [found, isNew] = movable.try_emplace(from);
        if (isNew)
            found->second = movableHosts(view, from);
        std::vector<std::string> &hosts = found->second;
        for (std::uint32_t left = transfer.count; left > 0 && !hosts.empty(); --left) {
            next.push_back(
                {.host = hosts.back(), .kind = ErrandKind::Move, .pool = names[transfer.to]});
            hosts.pop_back();
        }
    }
    return next;
}

} // namespace sequoiapier
