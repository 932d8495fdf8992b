#include "node/runneraddresses.h"

namespace sequoiapier {

// A runner may leave between the placement of a task and its batch. The start is not sent then.
void RunnerAddresses::require(std::span<const jobs::StartOrder> starts, const Runners &runners)
{
    for (const jobs::StartOrder &start : starts) {
        const auto runner = runners.find(start.runner);
        if (runner == runners.end())
            continue;
        const Endpoint &endpoint = runner->second.entry.endpoint;
        const auto stored = m_stored.find(start.runner);
        if (stored == m_stored.end() || stored->second != endpoint)
            m_required[start.runner] = endpoint;
        m_stale.erase(start.runner);
    }
}

void RunnerAddresses::forget(const Runners &runners)
{
    m_stale.clear();
    for (const auto &[runner, endpoint] : m_stored) {
        if (!runners.contains(runner))
            m_stale.insert(runner);
    }
}

std::vector<RunnerAddresses::Change> RunnerAddresses::takeChanges(std::size_t room)
{
    std::vector<Change> changes;
    while (!m_required.empty() && changes.size() < room) {
        const auto next = m_required.begin();
        m_stored[next->first] = next->second;
        changes.push_back({next->first, next->second});
        m_required.erase(next);
    }
    while (!m_stale.empty() && changes.size() < room) {
        const auto next = m_stale.begin();
        m_stored.erase(*next);
        changes.push_back({*next, std::nullopt});
        m_stale.erase(next);
    }
    return changes;
}

// The address that the store has is not known any more, so that the next start there writes it.
void RunnerAddresses::putBack(std::span<const Change> changes)
{
    for (const Change &change : changes) {
        if (change.endpoint)
            m_stored.erase(change.runner);
        else
            m_stored[change.runner] = {};
    }
}

} // namespace sequoiapier
