#include "testing/standin/memoryrows.h"

namespace sequoiapier {

std::optional<std::vector<StoreRow>> MemoryRows::apply(const StoreTransaction &transaction)
{
    std::vector<StoreRow> conflicts;
    for (const StoreExpectation &expected : transaction.expected) {
        const auto found = m_rows.find(expected.key);
        const bool isThere = found != m_rows.end() && !found->second.isRemoved;
        const std::uint64_t version = isThere ? found->second.version : 0;
        if (version != expected.version)
            conflicts.push_back(isThere ? found->second : StoreRow{.key = expected.key});
    }
    if (!conflicts.empty())
        return conflicts;
    ++m_version;
    for (const StoreWrite &write : transaction.writes) {
        m_rows[write.key] = {.key = write.key,
                             .value = write.value.value_or(""),
                             .version = m_version,
                             .isRemoved = !write.value.has_value()};
    }
    return std::nullopt;
}

std::vector<StoreRow> MemoryRows::read(const StoreQuery &query) const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows) {
        const bool isWanted = key.table == query.table && key.part == query.part
            && key.key >= query.from && (query.to.empty() || key.key < query.to);
        if (isWanted && !row.isRemoved)
            rows.push_back(row);
    }
    return rows;
}

std::vector<StoreRow> MemoryRows::changedAfter(const std::string &table,
                                               std::uint64_t version) const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows) {
        if (key.table == table && row.version > version)
            rows.push_back(row);
    }
    return rows;
}

} // namespace sequoiapier
