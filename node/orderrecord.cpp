#include "node/orderrecord.h"

#include <utility>

namespace sequoiapier {

namespace {

StoreKey recordKey()
{
    return {.table = "fleet", .part = "fleet", .key = "orders"};
}

} // namespace

OrderRecord::OrderRecord(PoolStateStore store, Options options, Hooks hooks)
    : m_store(std::move(store))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_orders(options.interval)
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

void OrderRecord::request(const std::string &host)
{
    m_orders.add(host, m_hooks.now() + m_options.requestTime);
    m_isWriteNeeded = true;
}

void OrderRecord::read()
{
    m_isBusy = true;
    m_writing.clear();
    m_store.read(recordKey(), m_hooks.now() + m_options.storeTimeout,
                 [this, guard = Guard(m_guard)](const Result<std::optional<StoreRow>> &row) {
                     if (!guard.expired())
                         onRead(row);
                 });
}

// The former holder may write until the row is claimed, so that each row of its that is read before
// counts.
void OrderRecord::onRead(const Result<std::optional<StoreRow>> &row)
{
    m_isBusy = false;
    if (!row)
        return; // The next tick reads it again.
    const std::optional<StoreRow> &found = row.value();
    m_version = found ? found->version : 0;
    m_isVersionKnown = true;
    const Result<RecentOrdersRow> former
        = found ? parseRecentOrders(found->value) : Result<RecentOrdersRow>(RecentOrdersRow{});
    if (!former) {
        m_writer.reset();
    } else if (former.value().epoch < m_options.epoch) {
        m_writer = former.value().epoch;
        m_orders.inherit(former.value().hosts, m_hooks.now());
    } else if (former.value().epoch == m_options.epoch) {
        onClaimed(); // The answer to the claim was lost.
    } else {
        m_isDeposed = true;
        m_recorded.clear();
    }
    tick();
}

void OrderRecord::write()
{
    m_isBusy = true;
    m_isWriteNeeded = false;
    m_writing = m_orders.hosts(m_hooks.now());
    const StoreTransaction transaction{
        .expected = {{recordKey(), m_version}},
        .writes
        = {{recordKey(), encodeRecentOrders({.epoch = m_options.epoch, .hosts = m_writing})}}};
    m_store.commit(transaction, m_hooks.now() + m_options.storeTimeout,
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
        onClaimed();
        m_hooks.onWritten();
        tick();
        return;
    }
    m_isWriteNeeded = true;
    m_isVersionKnown = false;
    m_recorded.clear();
}

void OrderRecord::onClaimed()
{
    if (!std::exchange(m_isClaimed, true))
        m_hooks.onClaimed(m_writer.value_or(0), m_orders.blockedHosts(m_hooks.now()).size());
}

} // namespace sequoiapier
