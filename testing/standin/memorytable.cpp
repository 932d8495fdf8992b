#include "testing/standin/memorytable.h"

namespace sequoiapier {

std::vector<TableRow> MemoryTable::read(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return {};
    return {found->second};
}

std::vector<TableRow> MemoryTable::scan(const std::string &prefix) const
{
    std::vector<TableRow> rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row) {
        if (!row->first.starts_with(prefix))
            break;
        rows.push_back(row->second);
    }
    return rows;
}

CommitAnswer MemoryTable::commit(const std::vector<RowWrite> &writes)
{
    for (const RowWrite &write : writes) {
        const auto found = m_rows.find(write.key);
        const std::uint64_t current = found != m_rows.end() ? found->second.version : 0;
        if (current != write.baseVersion)
            return {CommitOutcome::Conflict, {}};
    }
    CommitAnswer answer{CommitOutcome::Committed, {}};
    for (const RowWrite &write : writes) {
        const std::uint64_t version = m_nextVersion++;
        if (write.value)
            m_rows[write.key] = {write.key, *write.value, version};
        else
            m_rows.erase(write.key);
        answer.versions.push_back(version);
    }
    return answer;
}

} // namespace sequoiapier
