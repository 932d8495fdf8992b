#include "node/poolstaterow.h"

#include <utility>

namespace sequoiapier {

PoolStateStore poolStateStore(StoreClient &store)
{
    return {
        .read =
            [&store](const StoreKey &key, TimePoint deadline, StoreClient::RowCallback callback) {
                store.readRow(key, deadline, std::move(callback));
            },
        .commit =
            [&store](const StoreTransaction &transaction, TimePoint deadline,
                     StoreClient::CommitCallback callback) {
                store.commit(transaction, deadline, std::move(callback));
            }};
}

PoolStateRow::PoolStateRow(PoolStateStore store, Options options, Hooks hooks)
    : m_store(std::move(store))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
{ }

void PoolStateRow::load(TimePoint now)
{
    m_isRequested = true;
    if (!m_isLoaded && !m_isBusy)
        read(now);
}

void PoolStateRow::update(TimePoint now)
{
    if (!m_isRequested || m_isBusy || now < m_nextCallAt || !m_hooks.isOwner())
        return;
    if (!m_isVersionKnown)
        read(now);
    else
        write(now);
}

void PoolStateRow::read(TimePoint now)
{
    m_isBusy = true;
    m_nextCallAt = now + m_options.interval;
    m_store.read(
        m_options.key, now + m_options.timeout,
        [this, guard = std::weak_ptr(m_guard), now](const Result<std::optional<StoreRow>> &row) {
            if (!guard.expired())
                onRead(row, now);
        });
}

// The first row that is read was written by an earlier owner. Later ones only tell the version.
void PoolStateRow::onRead(const Result<std::optional<StoreRow>> &row, TimePoint now)
{
    m_isBusy = false;
    if (!row)
        return;
    setStored(row.value());
    if (std::exchange(m_isLoaded, true) || m_stored.empty())
        return;
    if (m_stored.size() > m_options.maxBytes || !m_hooks.decode(m_stored, now))
        warn("poolstate.unreadable", std::to_string(m_stored.size()) + " bytes");
}

void PoolStateRow::setStored(std::optional<StoreRow> row)
{
    m_isVersionKnown = true;
    m_version = row ? row->version : 0;
    m_stored = row ? std::move(row->value) : std::string();
}

void PoolStateRow::write(TimePoint now)
{
    m_nextCallAt = now + m_options.interval;
    std::string content = m_hooks.encode(now);
    if (content == m_stored)
        return;
    if (content.size() > m_options.maxBytes) {
        warn("poolstate.too-large", std::to_string(content.size()) + " bytes");
        return;
    }
    m_isBusy = true;
    const StoreTransaction transaction{
        .expected = {{m_options.key, m_version}},
        .writes = {{m_options.key, content.empty() ? std::nullopt : std::optional(content)}}};
    m_store.commit(transaction, now + m_options.timeout,
                   [this, guard = std::weak_ptr(m_guard),
                    content = std::move(content)](const StoreCommit &commit) {
                       if (!guard.expired())
                           onCommit(commit, content);
                   });
}

// After a conflict, the row is read before the next write: a write whose answer was lost may have
// been applied, or another owner may have written the row.
void PoolStateRow::onCommit(const StoreCommit &commit, const std::string &content)
{
    m_isBusy = false;
    if (commit.outcome != CommitOutcome::Committed) {
        m_isVersionKnown = commit.outcome == CommitOutcome::NotCommitted;
        return;
    }
    m_version = content.empty() ? 0 : commit.version;
    m_stored = content;
}

void PoolStateRow::warn(std::string_view event, std::string_view detail) const
{
    if (m_hooks.warn)
        m_hooks.warn(event, m_options.key.key + ", " + std::string(detail));
}

} // namespace sequoiapier
