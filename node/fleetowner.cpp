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

constexpr Duration TickInterval = milliseconds(100);
constexpr Duration HostsInterval = milliseconds(700); // time between reads of the host list
constexpr Duration DemandInterval = milliseconds(200);
constexpr Duration MovesInterval = milliseconds(200);
// Older host lists and demands are ignored.
constexpr Duration MaxObservationAge = milliseconds(2'000);
constexpr Duration CallTimeout = milliseconds(1'500);
constexpr Duration StoreTimeout = milliseconds(1'000);
constexpr Duration OrderRetry = milliseconds(400);
// Time between calls that keep a host empty.
constexpr Duration EvacuationInterval = EvacuationDuration / 3;
// A move is dropped if its idle host is not empty by then.
constexpr Duration MoveEvacuationTimeout = milliseconds(1'500);
// Delay of the platform's host list after its orders.
constexpr Duration ListLag = milliseconds(500);

StoreKey rowKey(std::uint64_t wave)
{
    return {.table = FleetTable, .part = FleetPart, .key = "wave/" + std::to_string(wave)};
}

} // namespace

FleetOwner::FleetOwner(FleetContext &context, std::uint64_t epoch)
    : m_context(context)
    , m_epoch(epoch)
    , m_record(poolStateStore(context.store),
               {.epoch = epoch, .interval = context.settings.holderInterval}, recordHooks())
    , m_timer(context.loop, [this] { tick(); })
{ }

OrderRecord::Hooks FleetOwner::recordHooks()
{
    return {.now = BootClock::now,
            .onWritten = [this] { advanceOperations(); },
            .onClaimed =
                [this](std::uint64_t writer, std::size_t hosts) {
                    m_context.log.info("fleet.orders-inherited",
                                       {{"epoch", std::to_string(m_epoch)},
                                        {"writer", std::to_string(writer)},
                                        {"hosts", std::to_string(hosts)},
                                        {"detail",
                                         m_record.knowsFormerOrders()
                                             ? "other hosts may be moved at once"
                                             : "the last holder's orders are not known"}});
                }};
}

void FleetOwner::start()
{
    const TimePoint now = BootClock::now();
    m_ordersAllowedAt = m_epoch > 1 ? now + m_context.settings.holderInterval : now;
    tick();
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
        rowKey(number), BootClock::now() + StoreTimeout,
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
        return; // The next tick tries again.
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
    m_context.log.info("wave.taken",
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
    m_context.store.commit(transaction, BootClock::now() + StoreTimeout,
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
                                   // This or another owner has written the row: the next read
                                   // merges it with the state here.
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
    m_context.store.commit(transaction, BootClock::now() + StoreTimeout,
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
        const bool hasAll = m_listing.isSettled() && !m_listing.hosts().empty()
            && remainingHosts(wave.state, m_listing.hosts()).empty();
        if (hasAll && !wave.isCompleted) {
            wave.isCompleted = true;
            wave.isDirty = true;
            wave.isStatusWritten = false;
            m_context.log.info("wave.completed", {{"wave", std::to_string(number)}});
        }
        if (wave.isBusy)
            continue;
        if (wave.isDirty)
            save(number);
        else if (!wave.isStatusWritten && m_context.isOwner())
            writeStatus(number);
    }
}

bool FleetOwner::canOrder() const
{
    return m_context.isOwner() && BootClock::now() >= m_ordersAllowedAt;
}

bool FleetOwner::canMove() const
{
    return m_context.isOwner()
        && (m_record.knowsFormerOrders() || BootClock::now() >= m_ordersAllowedAt);
}

void FleetOwner::tick()
{
    const TimePoint now = BootClock::now();
    if (!m_isReadingHosts && now >= m_nextRead)
        readHosts();
    if (now >= m_nextDemand)
        askDemands();
    completeWaves();
    m_record.tick();
    if (canMove())
        plan();
    advanceOperations();
    m_timer.startAt(now + TickInterval);
}

void FleetOwner::advanceOperations()
{
    std::erase_if(m_operations, [&](const auto &item) {
        const bool isOver = isRunnerReplaced(item.first, item.second);
        if (isOver)
            m_context.log.info("host.errand-ended", {{"host", item.first}, {"detail", "reborn"}});
        return isOver;
    });
    // An operation may end while it is advanced: the pool's owner or the client may answer at once.
    std::vector<std::string> hosts;
    for (const auto &[host, active] : m_operations)
        hosts.push_back(host);
    for (const std::string &host : hosts) {
        const auto found = m_operations.find(host);
        if (found != m_operations.end())
            advanceOperation(host, found->second);
    }
}

// Returns whether the host has another runner than the one that was emptied, and the operation's
// own order is not the cause.
bool FleetOwner::isRunnerReplaced(const std::string &host, const ActiveOperation &active) const
{
    const FleetHost *known = findHost(host);
    return known != nullptr && known->runner != active.runner && !active.mayBeApplied
        && active.orderedAt == TimePoint{};
}

void FleetOwner::readHosts()
{
    const TimePoint askedAt = BootClock::now();
    m_isReadingHosts = true;
    m_nextRead = askedAt + HostsInterval;
    m_context.fleet.list(
        askedAt + CallTimeout,
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
    m_listing.replace(hosts);
    m_hostsAt = askedAt;
    finishOperations(askedAt);
}

// An operation is over when its host is up with another runner, or is gone.
void FleetOwner::finishOperations(TimePoint askedAt)
{
    for (auto next = m_operations.begin(); next != m_operations.end();) {
        const ActiveOperation &active = next->second;
        const FleetHost *host = findHost(next->first);
        const bool isBack = host != nullptr && host->state == FleetHostState::Up
            && active.orderedAt != TimePoint{} && askedAt > active.orderedAt + ListLag
            && (host->runner != active.runner || active.runner.empty());
        const bool isGone = host == nullptr;
        if (isBack || isGone)
            m_context.log.info("host.errand-ended", {{"host", next->first}});
        next = isBack || isGone ? m_operations.erase(next) : std::next(next);
    }
}

const FleetHost *FleetOwner::findHost(const std::string &name) const
{
    const std::vector<FleetHost> &hosts = m_listing.hosts();
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [&](const FleetHost &host) { return host.name == name; });
    return found != hosts.end() ? &*found : nullptr;
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
        pool.isKnown = pool.isKnown && now < m_demandAt[name] + MaxObservationAge;
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
    if (m_listing.hosts().empty() || m_hostsAt + MaxObservationAge < now)
        return;
    std::map<std::string, HostOperation> operations = operationsInProgress();
    const FleetView view{.hosts = m_listing.hosts(), .pools = m_pools, .operations = operations};
    std::map<std::uint64_t, WaveState> waves;
    for (const auto &[number, wave] : m_waves) {
        if (wave.isLoaded && !wave.isCompleted)
            waves[number] = wave.state;
    }
    if (canOrder())
        beginOperations(planMaintenance(view, waves, {}, now));
    if (now < m_nextMoves)
        return;
    m_nextMoves = now + MovesInterval;
    operations = operationsInProgress();
    FleetView movesView = view;
    for (const auto &[number, wave] : waves) {
        const std::vector<std::string> remaining = remainingHosts(wave, m_listing.hosts());
        movesView.due.insert(remaining.begin(), remaining.end());
    }
    const std::vector<HostOperation> moves = planMoves(movesView, m_context.weights, {});
    if (!moves.empty())
        logPools();
    beginOperations(moves);
}

// Logs the input of the decision on moves for each pool: its hosts, the hosts on their way to it
// and what its owner reported.
void FleetOwner::logPools() const
{
    std::map<std::string, std::uint32_t> present;
    std::map<std::string, std::uint32_t> incoming;
    for (const FleetHost &host : m_listing.hosts()) {
        const auto active = m_operations.find(host.name);
        if (active == m_operations.end())
            ++present[host.pool];
        else if (active->second.operation.kind == HostOperationKind::Move)
            ++incoming[active->second.operation.pool];
    }
    json pools;
    for (const auto &[name, pool] : m_pools) {
        pools[name] = {{"hosts", present[name]},   {"coming", incoming[name]},
                       {"runners", pool.runners},  {"needed", pool.needed},
                       {"idle", pool.idle.size()}, {"lastingSpread", pool.lastingSpread}};
    }
    m_context.log.info("fleet.moves-planned", {{"pools", pools.dump()}});
}

std::map<std::string, HostOperation> FleetOwner::operationsInProgress() const
{
    std::map<std::string, HostOperation> operations;
    for (const auto &[host, active] : m_operations)
        operations[host] = active.operation;
    // Hosts that the former owner may have ordered must not be chosen yet. They count as on their
    // way to the pool that lists them.
    for (const FleetHost &host : m_listing.hosts()) {
        if (m_record.isBlocked(host.name))
            operations.try_emplace(
                host.name, HostOperation{.kind = HostOperationKind::Move, .pool = host.pool});
    }
    return operations;
}

void FleetOwner::beginOperations(const std::vector<HostOperation> &operations)
{
    for (const HostOperation &operation : operations) {
        const FleetHost *host = findHost(operation.host);
        if (host == nullptr || m_operations.contains(operation.host))
            continue;
        m_context.log.info(
            "host.errand",
            {{"host", operation.host},
             {"kind", operation.kind == HostOperationKind::Move ? "move" : "maintenance"},
             {"from", host->pool},
             {"to",
              operation.kind == HostOperationKind::Move ? operation.pool
                                                        : std::to_string(operation.wave)},
             {"needed", std::to_string(m_pools[host->pool].needed)},
             {"runners", std::to_string(m_pools[host->pool].runners)}});
        m_record.request(operation.host);
        const auto pool = m_pools.find(host->pool);
        const bool isOff = pool != m_pools.end() && pool->second.isStandby;
        m_operations[operation.host]
            = {.operation = operation,
               .runner = host->runner,
               .fromPool = host->pool,
               .begunAt = BootClock::now(),
               .emptyUntil = isOff ? TimePoint::max() : TimePoint{},
               .nextEvacuationCallAt = isOff ? TimePoint::max() : TimePoint{}};
    }
    m_record.tick();
}

// The host is kept empty until its order is accepted, which may be long after it was found empty.
void FleetOwner::advanceOperation(const std::string &host, ActiveOperation &active)
{
    const TimePoint now = BootClock::now();
    if (active.orderedAt != TimePoint{})
        return;
    const bool isMove = active.operation.kind == HostOperationKind::Move;
    const bool isAllowed = isMove ? canMove() : canOrder();
    if (!active.isOrderSent && now >= active.retryAt && now < active.emptyUntil && isAllowed)
        order(host, active);
    else if (!active.isEvacuationPending && now >= active.nextEvacuationCallAt
             && m_context.isOwner())
        requestEvacuation(host, active);
}

void FleetOwner::requestEvacuation(const std::string &host, ActiveOperation &active)
{
    active.isEvacuationPending = true;
    const TimePoint askedAt = BootClock::now();
    api::EvacuationCall call;
    call.pool = active.fromPool;
    call.runner = active.runner;
    m_context.evacuate(
        call, [this, guard = Guard(m_guard), host, askedAt](const api::EvacuationReply *reply) {
            if (guard.expired())
                return;
            const auto found = m_operations.find(host);
            if (found == m_operations.end())
                return;
            ActiveOperation &asked = found->second;
            asked.isEvacuationPending = false;
            const bool isEmpty
                = reply != nullptr && reply->code == std::int32_t(ResultCode::Ok) && reply->isEmpty;
            if (isEmpty) {
                asked.emptyUntil = askedAt + EvacuationDuration;
                asked.nextEvacuationCallAt = askedAt + EvacuationInterval;
                advanceOperation(host, asked);
                return;
            }
            const bool isMove = asked.operation.kind == HostOperationKind::Move;
            if (isMove && !asked.mayBeApplied
                && BootClock::now() > asked.begunAt + MoveEvacuationTimeout)
                m_operations.erase(found);
        });
}

// Returns the number of the wave's hosts that are out of service for it or may be.
std::uint32_t FleetOwner::countInMaintenance(std::uint64_t wave) const
{
    return std::uint32_t(
        std::count_if(m_operations.begin(), m_operations.end(), [&](const auto &item) {
            const ActiveOperation &active = item.second;
            return active.operation.kind == HostOperationKind::Maintenance
                && active.operation.wave == wave
                && (active.orderedAt != TimePoint{} || active.mayBeApplied || active.isOrderSent);
        }));
}

void FleetOwner::order(const std::string &host, ActiveOperation &active)
{
    const bool isMove = active.operation.kind == HostOperationKind::Move;
    if (!isMove && !active.mayBeApplied) {
        const auto wave = m_waves.find(active.operation.wave);
        if (wave == m_waves.end()
            || countInMaintenance(active.operation.wave) >= wave->second.state.order.maxOut)
            return;
    }
    if (m_record.isBlocked(host))
        return; // The former owner recorded it after this operation began.
    if (!m_record.isRecorded(host)) {
        m_record.request(host);
        m_record.tick();
        return;
    }
    active.isOrderSent = true;
    active.mayBeApplied = true;
    const FleetHolder holder{m_context.settings.name, m_epoch};
    const TimePoint deadline = BootClock::now() + CallTimeout;
    m_record.onOrderSent(host, deadline);
    auto onAnswer = [this, guard = Guard(m_guard), host](FleetAnswer answer) {
        if (!guard.expired())
            onOrdered(host, answer);
    };
    if (isMove)
        m_context.fleet.move(host, active.operation.pool, holder, deadline, std::move(onAnswer));
    else
        m_context.fleet.maintain(host, active.operation.wave, holder, deadline,
                                 std::move(onAnswer));
}

void FleetOwner::onOrdered(const std::string &host, FleetAnswer answer)
{
    const auto found = m_operations.find(host);
    if (found == m_operations.end())
        return;
    ActiveOperation &active = found->second;
    const TimePoint now = BootClock::now();
    active.isOrderSent = false;
    m_context.log.info(
        "host.ordered",
        {{"host", host},
         {"kind", active.operation.kind == HostOperationKind::Move ? "move" : "maintenance"},
         {"outcome", std::string(toString(answer))}});
    switch (answer) {
    case FleetAnswer::Accepted:
        active.orderedAt = now;
        if (active.operation.kind == HostOperationKind::Maintenance) {
            Wave &wave = m_waves[active.operation.wave];
            wave.state.begun.insert(host);
            wave.isDirty = true;
        }
        break;
    case FleetAnswer::NoAnswer:
        active.retryAt = now + OrderRetry;
        break;
    case FleetAnswer::Refused:
        active.mayBeApplied = false;
        active.retryAt = now + OrderRetry;
        break;
    default:
        m_operations.erase(found); // planned again if it is still due
        break;
    }
}

} // namespace sequoiapier
