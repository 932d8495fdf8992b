#include "node/ceilingallocator.h"

#include "sequoiapier/wallclock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr const char *CeilingTable = "ceilings";
constexpr Duration StoreTimeout = milliseconds(800);
constexpr Duration ChangeInterval = milliseconds(250); // shortest time between changes of one part
constexpr Duration CheckInterval = milliseconds(1'000); // time between reads without own need
// A part has to be in surplus this long before it is reduced.
constexpr Duration ReleaseDelay = milliseconds(1'000);
constexpr std::int64_t RequestMargin = 30; // thousandths requested beyond what is wanted
constexpr double MinBound = 1e-9; // amount of a resource; a bound of zero would mean no bound
constexpr double SurplusFactor = 1.6; // A part above this multiple of what is wanted is reduced.

std::int64_t thousandths(const Resources &amount, const Resources &ceiling)
{
    return std::int64_t(std::ceil(dominantShare(amount, ceiling) * double(jobs::WholeCeiling)));
}

StoreKey rowKey(const std::string &team)
{
    return {.table = CeilingTable, .part = team, .key = "parts"};
}

} // namespace

CeilingAllocator::CeilingAllocator(StoreClient &store, DecisionLog &log, std::string pool,
                                   std::uint64_t epoch, std::function<void()> changed)
    : m_store(store)
    , m_log(log)
    , m_pool(std::move(pool))
    , m_epoch(epoch)
    , m_changed(std::move(changed))
{ }

std::optional<Resources> CeilingAllocator::limit(const Configuration &configuration,
                                                 std::string_view team) const
{
    const TeamConfig *config = configuration.findTeam(team);
    if (config == nullptr || config->resourceCeiling == Resources{})
        return std::nullopt;
    const auto entry = m_entries.find(team);
    const std::int64_t part
        = entry != m_entries.end() && entry->second.isClaimed ? entry->second.limit : 0;
    // An amount of zero in a ceiling means no bound, so a bound that is scaled down must stay
    // positive.
    Resources limit = config->resourceCeiling * (double(part) / double(jobs::WholeCeiling));
    const auto bound
        = [](double whole, double part) { return whole > 0 ? std::max(part, MinBound) : 0; };
    limit.processors = bound(config->resourceCeiling.processors, limit.processors);
    limit.memory = bound(config->resourceCeiling.memory, limit.memory);
    limit.accelerators = bound(config->resourceCeiling.accelerators, limit.accelerators);
    return limit;
}

// Teams without work in the pool have entries as well, so that a new owner withdraws what an
// earlier one has asked for.
void CeilingAllocator::update(const std::map<std::string, jobs::TeamDemand> &demands,
                              const Configuration &configuration)
{
    const TimePoint now = BootClock::now();
    for (auto &[team, entry] : m_entries) {
        entry.need = {.waitingSince = entry.need.waitingSince};
        entry.inUse = 0;
    }
    for (const TeamConfig &team : configuration.teams) {
        if (team.resourceCeiling == Resources{})
            continue;
        Entry &entry = m_entries[team.name];
        const auto demand = demands.find(team.name);
        if (demand != demands.end())
            updateNeed(entry, demand->second, team.resourceCeiling);
    }
    for (auto &[team, entry] : m_entries) {
        updateWaiting(entry);
        if (isChangeDue(entry, now))
            startChange(team, entry, now);
    }
}

void CeilingAllocator::updateNeed(Entry &entry, const jobs::TeamDemand &demand,
                                  const Resources &ceiling) const
{
    const auto needOf = [&](Resources use, const Resources &more) {
        use += more;
        return thousandths(use, ceiling);
    };
    entry.inUse = thousandths(demand.inUse, ceiling);
    entry.need.wanted = needOf(demand.inUse, demand.waiting);
    entry.need.needed = needOf(demand.inUse, demand.limited);
    entry.need.lasting = thousandths(demand.lasting, ceiling);
    const bool isLimited = demand.leastLimited != Resources{};
    Resources others = demand.inUse;
    others -= demand.lasting;
    const bool isIdle = dominantShare(others, ceiling) < MinBound;
    entry.need.least = isLimited && isIdle ? needOf(demand.lasting, demand.leastLimited) : 0;
}

void CeilingAllocator::updateWaiting(Entry &entry) const
{
    if (entry.need.least <= entry.limit)
        entry.need.waitingSince = 0;
    else if (entry.need.waitingSince == 0)
        entry.need.waitingSince = wallMilliseconds();
}

bool CeilingAllocator::isChangeDue(Entry &entry, TimePoint now) const
{
    const bool isSurplus = isSurplusDue(entry, now);
    if (entry.isBusy || now < entry.nextChangeAt)
        return false;
    if (!entry.isClaimed)
        return true;
    const std::int64_t part = entry.parts.of(m_pool);
    const bool isMoreWanted
        = part < std::min(entry.need.wanted, jobs::WholeCeiling) || part < entry.need.least;
    const auto published = entry.parts.pools.find(m_pool);
    const bool isWithdrawn = published != entry.parts.pools.end() && published->second.isShort()
        && entry.need.least <= part && entry.need.needed <= part;
    return isMoreWanted || isWithdrawn || isSurplus || isCheckDue(entry, now);
}

// Returns whether the part has been much larger than what is wanted for a while.
bool CeilingAllocator::isSurplusDue(Entry &entry, TimePoint now) const
{
    const std::int64_t wanted = entry.need.wanted;
    const std::int64_t most
        = wanted > 0 ? std::int64_t(SurplusFactor * double(wanted)) + RequestMargin : 0;
    if (entry.parts.of(m_pool) <= most)
        entry.surplusSince = {};
    else if (entry.surplusSince == TimePoint{})
        entry.surplusSince = now;
    return entry.surplusSince != TimePoint{} && now >= entry.surplusSince + ReleaseDelay;
}

// Returns whether the row is to be read since another pool may need a share of the part.
bool CeilingAllocator::isCheckDue(const Entry &entry, TimePoint now) const
{
    const std::int64_t part = entry.parts.of(m_pool);
    const bool isAnyShort
        = std::any_of(entry.parts.pools.begin(), entry.parts.pools.end(), [&](const auto &item) {
              return item.first != m_pool && item.second.isShort();
          });
    return part > 0 && (isAnyShort || now >= entry.nextCheckAt);
}

// A part is kept for a while after less of it is wanted, unless another pool needs it.
jobs::CeilingNeed CeilingAllocator::requestedNeed(const Entry &entry) const
{
    jobs::CeilingNeed need = entry.need;
    need.wanted += need.wanted > 0 ? RequestMargin : 0;
    const bool isKept
        = entry.surplusSince == TimePoint{} || BootClock::now() < entry.surplusSince + ReleaseDelay;
    if (isKept)
        need.wanted = std::max(need.wanted, entry.parts.of(m_pool));
    return need;
}

// Reads the row before the change is written: it may not be known yet, or another pool may have
// changed it.
void CeilingAllocator::startChange(const std::string &team, Entry &entry, TimePoint now)
{
    entry.isBusy = true;
    entry.nextChangeAt = now + ChangeInterval;
    entry.nextCheckAt = now + CheckInterval;
    read(team);
}

void CeilingAllocator::read(const std::string &team)
{
    m_store.readRow(
        rowKey(team), BootClock::now() + StoreTimeout,
        [this, guard = std::weak_ptr(m_guard), team](const Result<std::optional<StoreRow>> &row) {
            if (!guard.expired())
                onRead(team, row);
        });
}

void CeilingAllocator::onRead(const std::string &team, const Result<std::optional<StoreRow>> &row)
{
    Entry &entry = m_entries[team];
    if (!row) {
        entry.isBusy = false;
        return;
    }
    entry.version = 0;
    entry.parts = {};
    if (row.value()) {
        const Result<jobs::CeilingParts> parts = jobs::parseCeilingParts(row.value()->value);
        entry.version = row.value()->version;
        if (parts)
            entry.parts = parts.value();
        else
            m_log.warn("ceiling.unreadable", {{"team", team}, {"detail", parts.error().detail}});
    }
    write(team);
}

void CeilingAllocator::write(const std::string &team)
{
    Entry &entry = m_entries[team];
    const bool isUnused = entry.need == jobs::CeilingNeed{} && !entry.parts.pools.contains(m_pool);
    const std::optional<jobs::CeilingParts> next = isUnused
        ? entry.parts
        : jobs::adjusted(entry.parts, m_pool, m_epoch, requestedNeed(entry), entry.inUse);
    const bool isWritten = next
        && (entry.isInDoubt
            || (!isUnused && isWorthWriting(entry.parts.pools[m_pool], next->pools.at(m_pool))));
    if (!isWritten) {
        entry.isBusy = false;
        entry.isClaimed = next.has_value();
        entry.limit = next ? jobs::limitOf(*next, m_pool) : 0;
        return;
    }
    const StoreKey key = rowKey(team);
    const StoreTransaction transaction{.expected = {{key, entry.version}},
                                       .writes = {{key, jobs::encodeCeilingParts(*next)}}};
    // The smaller of the two parts applies until the answer.
    entry.parts.pools[m_pool].part = std::min(entry.parts.of(m_pool), next->of(m_pool));
    entry.limit = std::min(entry.parts.of(m_pool), jobs::limitOf(*next, m_pool));
    m_store.commit(
        transaction, BootClock::now() + StoreTimeout,
        [this, guard = std::weak_ptr(m_guard), team, next = *next](const StoreCommit &commit) {
            if (guard.expired())
                return;
            Entry &changed = m_entries[team];
            changed.isBusy = false;
            changed.isInDoubt = commit.outcome == CommitOutcome::Unknown;
            if (commit.outcome != CommitOutcome::Committed)
                // The part stays as it was, or as the smaller one if the outcome is unknown.
                return;
            changed.isClaimed = true;
            changed.parts = next;
            changed.limit = jobs::limitOf(next, m_pool);
            changed.surplusSince = {};
            m_log.info("ceiling.part",
                       {{"team", team},
                        {"pool", m_pool},
                        {"part", std::to_string(next.of(m_pool))},
                        {"limit", std::to_string(changed.limit)},
                        {"wanted", std::to_string(changed.need.wanted)},
                        {"needed", std::to_string(changed.need.needed)},
                        {"least", std::to_string(changed.need.least)}});
            m_changed();
        });
}

} // namespace sequoiapier
