#include "node/queuehomes.h"

#include "sequoiapier/configuration.h"

#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr const char *QueueTable = "queues";
constexpr std::size_t MaxPartBytes = 200; // of a part's name in the store
constexpr Duration StoreTimeout = milliseconds(800);
constexpr Duration StoreRetry = milliseconds(100);

StoreKey rowKey(const std::string &address)
{
    return {.table = QueueTable,
            .part = address.size() <= MaxPartBytes ? address : keyDigest(address),
            .key = "home"};
}

} // namespace

QueueHomes::QueueHomes(StoreClient &store, DecisionLog &log, std::string pool,
                       std::function<void()> settled)
    : m_store(store)
    , m_log(log)
    , m_pool(std::move(pool))
    , m_settled(std::move(settled))
{ }

QueueStanding QueueHomes::standing(const std::string &address, std::uint64_t configuration)
{
    Entry &entry = m_entries[address];
    if (entry.home)
        return QueueStanding::Home;
    if (configuration <= entry.refusedConfiguration)
        return QueueStanding::Elsewhere;
    entry.configuration = configuration;
    if (!entry.isBusy && entry.retryAt == TimePoint::max())
        read(address);
    return QueueStanding::Unsettled;
}

const jobs::QueueHome &QueueHomes::home(const std::string &address) const
{
    return *m_entries.at(address).home;
}

std::uint64_t QueueHomes::version(const std::string &address) const
{
    return m_entries.at(address).version;
}

void QueueHomes::invalidate(const std::string &address)
{
    const auto found = m_entries.find(address);
    if (found == m_entries.end())
        return;
    found->second.home.reset();
    found->second.isOutdated = found->second.isBusy;
}

void QueueHomes::forgetFormerPools(const std::string &address)
{
    Entry &entry = m_entries[address];
    if (entry.home)
        entry.home->formerPools.clear();
}

void QueueHomes::retry()
{
    const TimePoint now = BootClock::now();
    for (auto &[address, entry] : m_entries) {
        if (now >= entry.retryAt)
            read(address);
    }
}

void QueueHomes::keepOnly(const std::set<std::string> &addresses)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return !item.second.isBusy && !addresses.contains(item.first);
    });
}

void QueueHomes::read(const std::string &address)
{
    Entry &entry = m_entries[address];
    entry.isBusy = true;
    entry.isOutdated = false;
    entry.retryAt = TimePoint::max();
    m_store.readRow(rowKey(address), BootClock::now() + StoreTimeout,
                    [this, guard = std::weak_ptr(m_guard),
                     address](const Result<std::optional<StoreRow>> &row) {
                        if (!guard.expired())
                            onRead(address, row);
                    });
}

void QueueHomes::onRead(const std::string &address, const Result<std::optional<StoreRow>> &row)
{
    if (!row) {
        fail(address, row.error().detail);
        return;
    }
    jobs::QueueHome home;
    Entry &entry = m_entries[address];
    entry.version = 0;
    if (row.value()) {
        entry.version = row.value()->version;
        const Result<jobs::QueueHome> parsed = jobs::parseQueueHome(row.value()->value);
        if (!parsed) {
            fail(address, parsed.error().detail);
            return;
        }
        home = parsed.value();
    }
    const std::optional<jobs::QueueHome> next = jobs::claimed(home, m_pool, entry.configuration);
    if (!next) {
        entry.isBusy = false;
        entry.refusedConfiguration = entry.configuration;
        m_settled();
    } else if (*next == home) {
        settle(address, home, entry.version);
    } else {
        write(address, *next);
    }
}

// After an unknown outcome the row is read again: it names this pool if the write was applied.
void QueueHomes::write(const std::string &address, const jobs::QueueHome &next)
{
    const StoreKey key = rowKey(address);
    const StoreTransaction transaction{.expected = {{key, m_entries[address].version}},
                                       .writes = {{key, jobs::encodeQueueHome(next)}}};
    m_store.commit(
        transaction, BootClock::now() + StoreTimeout,
        [this, guard = std::weak_ptr(m_guard), address, next](const StoreCommit &commit) {
            if (guard.expired())
                return;
            if (commit.outcome == CommitOutcome::Committed)
                settle(address, next, commit.version);
            else
                fail(address, commit.detail);
        });
}

void QueueHomes::settle(const std::string &address, const jobs::QueueHome &home,
                        std::uint64_t version)
{
    Entry &entry = m_entries[address];
    if (entry.isOutdated) {
        read(address);
        return;
    }
    entry.isBusy = false;
    entry.home = home;
    entry.version = version;
    std::string former;
    for (const std::string &pool : home.formerPools)
        former += (former.empty() ? "" : ",") + pool;
    m_log.info("queue.claimed", {{"queue", address}, {"pool", m_pool}, {"former", former}});
    m_settled();
}

void QueueHomes::fail(const std::string &address, std::string_view detail)
{
    Entry &entry = m_entries[address];
    entry.isBusy = false;
    entry.retryAt = BootClock::now() + StoreRetry;
    m_log.info("queue.claim-failed",
               {{"queue", address}, {"pool", m_pool}, {"detail", std::string(detail)}});
}

} // namespace sequoiapier
