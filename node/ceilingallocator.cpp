#include "node/ceilingallocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr const char *CeilingTable = "ceilings";
constexpr Duration StoreTimeout = milliseconds(800);
constexpr Duration ChangeInterval = milliseconds(250); // shortest time between changes of one part
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
        = entry != m_entries.end() && entry->second.isClaimed ? entry->second.parts.of(m_pool) : 0;
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

void CeilingAllocator::update(const std::map<std::string, jobs::TeamDemand> &demands,
                              const Configuration &configuration)
{
    const TimePoint now = BootClock::now();
    for (auto &[team, entry] : m_entries)
        entry.wanted = entry.inUse = 0;
    for (const auto &[team, demand] : demands) {
        const TeamConfig *config = configuration.findTeam(team);
        if (config == nullptr || config->resourceCeiling == Resources{})
            continue;
        Entry &entry = m_entries[team];
        entry.inUse = thousandths(demand.inUse, config->resourceCeiling);
        Resources wanted = demand.inUse;
        wanted += demand.waiting;
        entry.wanted = thousandths(wanted, config->resourceCeiling);
    }
    for (auto &[team, entry] : m_entries) {
        if (isChangeDue(entry, now))
            startChange(team, entry, now);
    }
}

bool CeilingAllocator::isChangeDue(Entry &entry, TimePoint now) const
{
    if (entry.isBusy || now < entry.nextChangeAt)
        return false;
    if (!entry.isClaimed)
        return true;
    const std::int64_t part = entry.parts.of(m_pool);
    if (entry.wanted > part)
        return part < jobs::WholeCeiling;
    const bool hasSurplus = double(part) > SurplusFactor * double(entry.wanted) + RequestMargin;
    if (!hasSurplus)
        entry.surplusSince = {};
    else if (entry.surplusSince == TimePoint{})
        entry.surplusSince = now;
    return hasSurplus && now >= entry.surplusSince + ReleaseDelay;
}

// Reads the row before the change is written: it may not be known yet, or another pool may have
// changed it.
void CeilingAllocator::startChange(const std::string &team, Entry &entry, TimePoint now)
{
    entry.isBusy = true;
    entry.nextChangeAt = now + ChangeInterval;
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
    const std::optional<jobs::CeilingParts> next
        = jobs::adjusted(entry.parts, m_pool, m_epoch, entry.wanted + RequestMargin, entry.inUse);
    if (!next || (*next == entry.parts && !entry.isInDoubt)) {
        entry.isBusy = false;
        entry.isClaimed = next.has_value();
        return;
    }
    const StoreKey key = rowKey(team);
    const StoreTransaction transaction{.expected = {{key, entry.version}},
                                       .writes = {{key, jobs::encodeCeilingParts(*next)}}};
    // The smaller of the two parts applies until the answer.
    entry.parts.pools[m_pool].part = std::min(entry.parts.of(m_pool), next->of(m_pool));
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
            changed.surplusSince = {};
            m_log.info("ceiling.part",
                       {{"team", team},
                        {"pool", m_pool},
                        {"part", std::to_string(next.of(m_pool))},
                        {"wanted", std::to_string(changed.wanted)}});
            m_changed();
        });
}

} // namespace sequoiapier
