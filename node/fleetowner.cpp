#include "node/fleetowner.h"

#include "node/evacuation.h"
#include "platform/jsonfields.h"
#include "platform/operatorrows.h"
#include "sequoiapier/wallclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char *FleetTable = "fleet";
constexpr const char *FleetPart = "fleet";

constexpr Duration TurnInterval = milliseconds(100);
constexpr Duration HostsInterval = milliseconds(700); // between lists of hosts
constexpr Duration DemandInterval = milliseconds(200);
constexpr Duration MovesInterval = milliseconds(200);
constexpr Duration DemandAge = milliseconds(2'000); // older ones are not acted on
constexpr Duration CallPatience = milliseconds(1'500);
constexpr Duration StorePatience = milliseconds(1'000);
constexpr Duration OrderRetry = milliseconds(400);
constexpr Duration EmptyInterval = EvacuationTerm / 3; // between calls that keep a host empty
constexpr Duration MovePatience = milliseconds(1'500); // to empty a host that was idle
// The platform takes orders of two holders for one host within three seconds as a conflict.
constexpr Duration HolderPause = milliseconds(3'000);
constexpr Duration ListLag = milliseconds(500); // of the platform's list behind its orders

StoreKey rowKey(std::uint64_t wave)
{
    return {.table = FleetTable, .part = FleetPart, .key = "wave/" + std::to_string(wave)};
}

} // namespace

FleetOwner::FleetOwner(FleetContext &context, std::uint64_t epoch)
    : m_context(context)
    , m_epoch(epoch)
    , m_timer(context.loop, [this] { turn(); })
{ }

void FleetOwner::start()
{
    const TimePoint now = BootClock::now();
    m_ordersFrom = m_epoch > 1 ? now + HolderPause : now;
    turn();
}

void FleetOwner::setWaves(const std::map<std::uint64_t, WaveOrder> &waves)
{
    for (const auto &[number, order] : waves) {
        if (m_waves.contains(number))
            continue;
        m_waves[number].state.order = order;
        load(number);
    }
}

void FleetOwner::load(std::uint64_t number)
{
    m_waves[number].isBusy = true;
    m_context.store.readRow(
        rowKey(number), BootClock::now() + StorePatience,
        [this, guard = Guard(m_guard), number](const Result<std::optional<StoreRow>> &row) {
            if (!guard.expired())
                onLoaded(number, row);
        });
}

void FleetOwner::onLoaded(std::uint64_t number, const Result<std::optional<StoreRow>> &row)
{
    Wave &wave = m_waves[number];
    wave.isBusy = false;
    if (!row)
        return; // the next turn tries again
    wave.startedAt = wallMilliseconds();
    wave.rowVersion = 0;
    if (row.value()) {
        const json value = parseBody(row.value()->value);
        wave.rowVersion = row.value()->version;
        wave.startedAt = numberField(value, "startedAt").value_or(wave.startedAt);
        wave.isCompleted = flagField(value, "isCompleted");
        for (const json &host : listField(value, "begun")) {
            if (host.is_string())
                wave.state.begun.insert(host.get<std::string>());
        }
    }
    const std::int64_t age = std::max<std::int64_t>(wallMilliseconds() - wave.startedAt, 0);
    wave.state.deadline = BootClock::now() + wave.state.order.duration - milliseconds(age);
    wave.isLoaded = true;
    wave.isDirty = wave.isDirty || wave.rowVersion == 0;
    m_context.log.note("wave.taken",
                       {{"wave", std::to_string(number)},
                        {"hosts", std::to_string(wave.state.order.hosts.size())},
                        {"begun", std::to_string(wave.state.begun.size())},
                        {"epoch", std::to_string(m_epoch)}});
}

void FleetOwner::save(std::uint64_t number)
{
    Wave &wave = m_waves[number];
    wave.isBusy = true;
    wave.isDirty = false;
    const json value{{"startedAt", wave.startedAt},
                     {"isCompleted", wave.isCompleted},
                     {"begun", wave.state.begun}};
    const StoreTransaction transaction{.expected = {{rowKey(number), wave.rowVersion}},
                                       .writes = {{rowKey(number), value.dump()}}};
    m_context.store.commit(transaction, BootClock::now() + StorePatience,
                           [this, guard = Guard(m_guard), number](const StoreCommit &commit) {
                               if (guard.expired())
                                   return;
                               Wave &saved = m_waves[number];
                               saved.isBusy = false;
                               if (commit.outcome == CommitOutcome::Committed) {
                                   saved.rowVersion = commit.version;
                                   return;
                               }
                               saved.isDirty = true;
                               if (commit.outcome != CommitOutcome::NotCommitted) {
                                   // Another owner, or this one: what it wrote is joined with what
                                   // is known here.
                                   load(number);
                               }
                           });
}

void FleetOwner::writeStatus(std::uint64_t number)
{
    Wave &wave = m_waves[number];
    wave.isStatusWritten = true;
    const StoreTransaction transaction{
        .writes = {{waveStatusKey(number), encodeWaveStatus(wave.isCompleted)}}};
    m_context.store.commit(transaction, BootClock::now() + StorePatience,
                           [this, guard = Guard(m_guard), number](const StoreCommit &commit) {
                               const bool isDone = commit.outcome == CommitOutcome::Committed;
                               if (!guard.expired() && !isDone)
                                   m_waves[number].isStatusWritten = false;
                           });
}

// A wave is complete once each of its hosts that is still in the fleet has begun its maintenance.
void FleetOwner::completeWaves()
{
    for (auto &[number, wave] : m_waves) {
        if (!wave.isLoaded) {
            if (!wave.isBusy)
                load(number);
            continue;
        }
        const bool hasAll = !m_hosts.empty() && remainingHosts(wave.state, m_hosts).empty();
        if (hasAll && !wave.isCompleted) {
            wave.isCompleted = true;
            wave.isDirty = true;
            wave.isStatusWritten = false;
            m_context.log.note("wave.completed", {{"wave", std::to_string(number)}});
        }
        if (wave.isBusy)
            continue;
        if (wave.isDirty)
            save(number);
        else if (!wave.isStatusWritten && m_context.isOwner())
            writeStatus(number);
    }
}

bool FleetOwner::mayOrder() const
{
    return m_context.isOwner() && BootClock::now() >= m_ordersFrom;
}

void FleetOwner::turn()
{
    const TimePoint now = BootClock::now();
    if (!m_isReadingHosts && now >= m_nextRead)
        readHosts();
    if (now >= m_nextDemand)
        askDemands();
    completeWaves();
    if (mayOrder())
        plan();
    advanceErrands();
    m_timer.startAt(now + TurnInterval);
}

void FleetOwner::advanceErrands()
{
    std::erase_if(m_errands, [&](const auto &item) {
        const bool isOver = isForOtherLife(item.first, item.second);
        if (isOver)
            m_context.log.note("host.errand-ended", {{"host", item.first}, {"detail", "reborn"}});
        return isOver;
    });
    // An errand may end while it is advanced: the pool's owner or the client may answer at once.
    std::vector<std::string> hosts;
    for (const auto &[host, errand] : m_errands)
        hosts.push_back(host);
    for (const std::string &host : hosts) {
        const auto found = m_errands.find(host);
        if (found != m_errands.end())
            advance(host, found->second);
    }
}

// Whether the host has another runner than the one that was emptied, not by this errand's order.
bool FleetOwner::isForOtherLife(const std::string &host, const Errand &errand) const
{
    const FleetHost *known = findHost(host);
    return known != nullptr && known->runner != errand.runner && !errand.mayBeOrdered
        && errand.orderedAt == TimePoint{};
}

void FleetOwner::readHosts()
{
    const TimePoint askedAt = BootClock::now();
    m_isReadingHosts = true;
    m_nextRead = askedAt + HostsInterval;
    m_context.fleet.list(
        askedAt + CallPatience,
        [this, guard = Guard(m_guard), askedAt](const Result<std::vector<FleetHost>> &hosts) {
            if (guard.expired())
                return;
            m_isReadingHosts = false;
            if (hosts)
                onHosts(hosts.value(), askedAt);
        });
}

void FleetOwner::onHosts(const std::vector<FleetHost> &hosts, TimePoint askedAt)
{
    m_hosts = hosts;
    m_hostsAt = askedAt;
    finishErrands(askedAt);
}

// An errand is over when the host is up with another runner, or gone.
void FleetOwner::finishErrands(TimePoint askedAt)
{
    for (auto next = m_errands.begin(); next != m_errands.end();) {
        const Errand &errand = next->second;
        const FleetHost *host = findHost(next->first);
        const bool isBack = host != nullptr && host->state == FleetHostState::Up
            && errand.orderedAt != TimePoint{} && askedAt > errand.orderedAt + ListLag
            && (host->runner != errand.runner || errand.runner.empty());
        const bool isGone = host == nullptr;
        if (isBack || isGone)
            m_context.log.note("host.errand-ended", {{"host", next->first}});
        next = isBack || isGone ? m_errands.erase(next) : std::next(next);
    }
}

const FleetHost *FleetOwner::findHost(const std::string &name) const
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [&](const FleetHost &host) { return host.name == name; });
    return found != m_hosts.end() ? &*found : nullptr;
}

void FleetOwner::askDemands()
{
    m_nextDemand = BootClock::now() + DemandInterval;
    for (const ServiceConfig &service : m_context.configuration().services) {
        m_pools[service.name].isStandby = service.isStandby;
        if (service.isStandby)
            continue;
        api::DemandCall call;
        call.pool = service.name;
        m_context.demand(
            call,
            [this, guard = Guard(m_guard), pool = service.name](const api::DemandReply *reply) {
                if (!guard.expired())
                    onDemand(pool, reply);
            });
    }
}

void FleetOwner::onDemand(const std::string &name, const api::DemandReply *reply)
{
    FleetPool &pool = m_pools[name];
    const TimePoint now = BootClock::now();
    if (reply == nullptr || reply->code != std::int32_t(ResultCode::Ok)) {
        pool.isKnown = pool.isKnown && now < m_demandAt[name] + DemandAge;
        return;
    }
    m_demandAt[name] = now;
    pool.isKnown = true;
    pool.runners = std::uint32_t(reply->runners);
    pool.needed = reply->needed;
    pool.lastingSpread = std::uint32_t(reply->lastingSpread);
    pool.idle = {reply->idle.begin(), reply->idle.end()};
}

void FleetOwner::plan()
{
    const TimePoint now = BootClock::now();
    if (m_hosts.empty() || m_hostsAt + DemandAge < now)
        return;
    std::map<std::string, HostErrand> errands = errandsUnderWay();
    const FleetView view{.hosts = m_hosts, .pools = m_pools, .errands = errands};
    std::map<std::uint64_t, WaveState> waves;
    for (const auto &[number, wave] : m_waves) {
        if (wave.isLoaded && !wave.isCompleted)
            waves[number] = wave.state;
    }
    begin(planMaintenance(view, waves, {}, now));
    if (now < m_nextMoves)
        return;
    m_nextMoves = now + MovesInterval;
    errands = errandsUnderWay();
    FleetView movesView = view;
    for (const auto &[number, wave] : waves) {
        const std::vector<std::string> remaining = remainingHosts(wave, m_hosts);
        movesView.due.insert(remaining.begin(), remaining.end());
    }
    const std::vector<HostErrand> moves = planMoves(movesView, m_context.weights, {});
    if (!moves.empty())
        notePools();
    begin(moves);
}

// What moves are decided from, of each pool: hosts there and on their way to it, what its owner
// says.
void FleetOwner::notePools() const
{
    std::map<std::string, std::uint32_t> there;
    std::map<std::string, std::uint32_t> coming;
    for (const FleetHost &host : m_hosts) {
        const auto errand = m_errands.find(host.name);
        if (errand == m_errands.end())
            ++there[host.pool];
        else if (errand->second.what.kind == ErrandKind::Move)
            ++coming[errand->second.what.pool];
    }
    json pools;
    for (const auto &[name, pool] : m_pools) {
        pools[name] = {{"hosts", there[name]},     {"coming", coming[name]},
                       {"runners", pool.runners},  {"needed", pool.needed},
                       {"idle", pool.idle.size()}, {"lastingSpread", pool.lastingSpread}};
    }
    m_context.log.note("fleet.moves-planned", {{"pools", pools.dump()}});
}

std::map<std::string, HostErrand> FleetOwner::errandsUnderWay() const
{
    std::map<std::string, HostErrand> errands;
    for (const auto &[host, errand] : m_errands)
        errands[host] = errand.what;
    return errands;
}

void FleetOwner::begin(const std::vector<HostErrand> &errands)
{
    for (const HostErrand &what : errands) {
        const FleetHost *host = findHost(what.host);
        if (host == nullptr || m_errands.contains(what.host))
            continue;
        m_context.log.note(
            "host.errand",
            {{"host", what.host},
             {"kind", what.kind == ErrandKind::Move ? "move" : "maintenance"},
             {"from", host->pool},
             {"to", what.kind == ErrandKind::Move ? what.pool : std::to_string(what.wave)},
             {"needed", std::to_string(m_pools[host->pool].needed)},
             {"runners", std::to_string(m_pools[host->pool].runners)}});
        const auto pool = m_pools.find(host->pool);
        const bool isOff = pool != m_pools.end() && pool->second.isStandby;
        m_errands[what.host] = {.what = what,
                                .runner = host->runner,
                                .fromPool = host->pool,
                                .begunAt = BootClock::now(),
                                .emptyUntil = isOff ? TimePoint::max() : TimePoint{},
                                .askAgainAt = isOff ? TimePoint::max() : TimePoint{}};
    }
}

// The host is kept empty until its order is accepted, which may be long after it was found empty.
void FleetOwner::advance(const std::string &host, Errand &errand)
{
    const TimePoint now = BootClock::now();
    if (errand.orderedAt != TimePoint{})
        return;
    if (!errand.isOrderSent && now >= errand.retryAt && now < errand.emptyUntil && mayOrder())
        order(host, errand);
    else if (!errand.isAsking && now >= errand.askAgainAt)
        askPool(host, errand);
}

void FleetOwner::askPool(const std::string &host, Errand &errand)
{
    errand.isAsking = true;
    const TimePoint askedAt = BootClock::now();
    api::EvacuationCall call;
    call.pool = errand.fromPool;
    call.runner = errand.runner;
    m_context.evacuate(
        call, [this, guard = Guard(m_guard), host, askedAt](const api::EvacuationReply *reply) {
            if (guard.expired())
                return;
            const auto found = m_errands.find(host);
            if (found == m_errands.end())
                return;
            Errand &asked = found->second;
            asked.isAsking = false;
            const bool isEmpty
                = reply != nullptr && reply->code == std::int32_t(ResultCode::Ok) && reply->isEmpty;
            if (isEmpty) {
                asked.emptyUntil = askedAt + EvacuationTerm;
                asked.askAgainAt = askedAt + EmptyInterval;
                advance(host, asked);
                return;
            }
            const bool isMove = asked.what.kind == ErrandKind::Move;
            if (isMove && !asked.mayBeOrdered && BootClock::now() > asked.begunAt + MovePatience)
                m_errands.erase(found);
        });
}

// Hosts of the wave that are down for it, or may be.
std::uint32_t FleetOwner::maintainedNow(std::uint64_t wave) const
{
    return std::uint32_t(std::count_if(m_errands.begin(), m_errands.end(), [&](const auto &item) {
        const Errand &errand = item.second;
        return errand.what.kind == ErrandKind::Maintenance && errand.what.wave == wave
            && (errand.orderedAt != TimePoint{} || errand.mayBeOrdered || errand.isOrderSent);
    }));
}

void FleetOwner::order(const std::string &host, Errand &errand)
{
    const bool isMove = errand.what.kind == ErrandKind::Move;
    if (!isMove && !errand.mayBeOrdered) {
        const auto wave = m_waves.find(errand.what.wave);
        if (wave == m_waves.end()
            || maintainedNow(errand.what.wave) >= wave->second.state.order.maxOut)
            return;
    }
    errand.isOrderSent = true;
    errand.mayBeOrdered = true;
    const FleetHolder holder{m_context.settings.name, m_epoch};
    const TimePoint deadline = BootClock::now() + CallPatience;
    auto onAnswer = [this, guard = Guard(m_guard), host](FleetAnswer answer) {
        if (!guard.expired())
            onOrdered(host, answer);
    };
    if (isMove)
        m_context.fleet.move(host, errand.what.pool, holder, deadline, std::move(onAnswer));
    else
        m_context.fleet.maintain(host, errand.what.wave, holder, deadline, std::move(onAnswer));
}

void FleetOwner::onOrdered(const std::string &host, FleetAnswer answer)
{
    const auto found = m_errands.find(host);
    if (found == m_errands.end())
        return;
    Errand &errand = found->second;
    const TimePoint now = BootClock::now();
    errand.isOrderSent = false;
    m_context.log.note("host.ordered",
                       {{"host", host}, {"outcome", std::string(toString(answer))}});
    switch (answer) {
    case FleetAnswer::Accepted:
        errand.orderedAt = now;
        if (errand.what.kind == ErrandKind::Maintenance) {
            Wave &wave = m_waves[errand.what.wave];
            wave.state.begun.insert(host);
            wave.isDirty = true;
        }
        break;
    case FleetAnswer::NoAnswer:
        errand.retryAt = now + OrderRetry;
        break;
    case FleetAnswer::Refused:
        errand.mayBeOrdered = false;
        errand.retryAt = now + OrderRetry;
        break;
    default:
        m_errands.erase(found); // planned again if it is still due
        break;
    }
}

} // namespace sequoiapier
