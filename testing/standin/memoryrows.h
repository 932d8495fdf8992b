// MemoryRows is an in-memory version of the platform's row store. All row versions come from one
// counter, a transaction covers one part, and each row keeps its last change for watches.
#pragma once

#include "platform/storeclient.h"

#include <map>
#include <vector>

namespace sequoiapier {

class MemoryRows
{
public:
    // Applies the transaction and returns nullopt, or returns the rows whose versions differ from
    // the expected ones and changes nothing.
    std::optional<std::vector<StoreRow>> apply(const StoreTransaction &transaction);
    // Rows of a table and part with keys in [from, to), in key order. An empty `to` sets no bound.
    std::vector<StoreRow> read(const StoreQuery &query) const;
    // Rows of the table that changed after `version`, each with its latest change only.
    std::vector<StoreRow> changedAfter(const std::string &table, std::uint64_t version) const;
    std::uint64_t version() const { return m_version; }

private:
    std::map<StoreKey, StoreRow> m_rows; // Removed rows stay, with isRemoved set.
    std::uint64_t m_version = 0;
};

} // namespace sequoiapier
