// MemoryTable is an in-memory transactional table with compare-and-set commits.
#pragma once

#include "sequoiapier/table.h"

#include <map>

namespace sequoiapier {

class MemoryTable
{
public:
    std::vector<TableRow> read(const std::string &key) const;
    std::vector<TableRow> scan(const std::string &prefix) const;
    CommitAnswer commit(const std::vector<RowWrite> &writes);
    std::size_t rowCount() const { return m_rows.size(); }

private:
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_nextVersion = 1;
};

} // namespace sequoiapier
