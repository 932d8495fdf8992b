#include "node/runnerlisting.h"

#include "platform/runnerlist.h"

#include <utility>

namespace sequoiapier {

void RunnerListing::replace(std::span<const StoreRow> rows)
{
    for (auto &[id, item] : m_items)
        item.isPresent = false;
    apply(rows);
}

void RunnerListing::apply(std::span<const StoreRow> changes)
{
    for (const StoreRow &row : changes) {
        std::optional<jobs::RunnerEntry> entry = parseRunnerRow(row);
        if (entry) {
            m_items[row.key.key] = {std::move(*entry), true};
            continue;
        }
        if (!row.isRemoved && m_unreadable.insert(row.key.key).second)
            m_onUnreadable(row.key.key);
        const auto known = m_items.find(row.key.key);
        if (known != m_items.end())
            known->second.isPresent = false;
    }
}

std::span<const jobs::RunnerEntry> RunnerListing::confirm(TimePoint sentAt, TimePoint now)
{
    m_runners.clear();
    for (auto next = m_items.begin(); next != m_items.end();) {
        Item &item = next->second;
        if (!item.isPresent && now >= m_keepMissingUntil) {
            next = m_items.erase(next);
            continue;
        }
        if (item.isPresent)
            item.entry.listedAt = sentAt;
        m_runners.push_back(item.entry);
        ++next;
    }
    return m_runners;
}

} // namespace sequoiapier
