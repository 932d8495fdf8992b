#include "node/orderrecord.h"

#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr Duration StoreTimeout = milliseconds(1'000);
// Time for which a host stays in the row between the request and its order.
constexpr Duration RequestTime = milliseconds(2'000);

StoreKey recordKey()
{
    return {.table = "fleet", .part = "fleet", .key = "orders"};
}

} // namespace

OrderRecord::OrderRecord(StoreClient &store, DecisionLog &log, Duration interval,
                         std::uint64_t epoch, std::function<void()> onWritten)
    : m_store(store)
    , m_log(log)
    , m_epoch(epoch)
    , m_onWritten(std::move(onWritten))
    , m_orders(interval)
{ }

void OrderRecord::tick()
{
    if (m_isBusy || m_isDeposed)
        return;
    if (!m_isVersionKnown)
        read();
    else if (m_isWriteNeeded)
        write();
}

bool OrderRecord::isRecorded(const std::string &host) const
{
    return m_recorded.contains(host) && (!m_isBusy || m_writing.contains(host));
}

void OrderRecord::request(const std::string &host, TimePoint now)
{
    m_orders.add(host, now + RequestTime);
    m_isWriteNeeded = true;
}

void OrderRecord::read()
{
    m_isBusy = true;
    m_writing.clear();
    m_store.readRow(recordKey(), BootClock::now() + StoreTimeout,
                    [this, guard = Guard(m_guard)](const Result<std::optional<StoreRow>> &row) {
                        if (!guard.expired())
                            onRead(row);
                    });
}

void OrderRecord::onRead(const Result<std::optional<StoreRow>> &row)
{
    m_isBusy = false;
    if (!row)
        return; // The next tick reads it again.
    const std::optional<StoreRow> &found = row.value();
    m_version = found ? found->version : 0;
    m_isVersionKnown = true;
    onFormerRow(found);
    tick();
}

// The row of a holder that isn't the one just before this one does not tell what that one ordered.
void OrderRecord::onFormerRow(const std::optional<StoreRow> &row)
{
    const Result<RecentOrdersRow> parsed
        = row ? parseRecentOrders(row->value) : Result<RecentOrdersRow>(RecentOrdersRow{});
    const std::uint64_t writer = parsed ? parsed.value().epoch : 0;
    if (writer > m_epoch) {
        m_isDeposed = true;
        m_recorded.clear();
        return;
    }
    if (std::exchange(m_isClaimed, true))
        return;
    m_hasFormerOrders = writer + 1 == m_epoch;
    const std::set<std::string> hosts = parsed ? parsed.value().hosts : std::set<std::string>();
    m_orders.inherit(hosts, BootClock::now());
    m_log.info("fleet.orders-inherited",
               {{"epoch", std::to_string(m_epoch)},
                {"writer", std::to_string(writer)},
                {"hosts", std::to_string(hosts.size())},
                {"detail",
                 m_hasFormerOrders ? "other hosts may be moved at once"
                                   : "the last holder's orders are not known"}});
}

void OrderRecord::write()
{
    m_isBusy = true;
    m_isWriteNeeded = false;
    m_writing = m_orders.hosts(BootClock::now());
    const StoreTransaction transaction{
        .expected = {{recordKey(), m_version}},
        .writes = {{recordKey(), encodeRecentOrders({.epoch = m_epoch, .hosts = m_writing})}}};
    m_store.commit(transaction, BootClock::now() + StoreTimeout,
                   [this, guard = Guard(m_guard)](const StoreCommit &commit) {
                       if (!guard.expired())
                           onWriteAnswer(commit);
                   });
}

void OrderRecord::onWriteAnswer(const StoreCommit &commit)
{
    m_isBusy = false;
    if (commit.outcome == CommitOutcome::Committed) {
        m_version = commit.version;
        m_recorded = std::move(m_writing);
        m_onWritten();
        tick();
        return;
    }
    m_isWriteNeeded = true;
    m_isVersionKnown = false;
    m_recorded.clear();
}

} // namespace sequoiapier
