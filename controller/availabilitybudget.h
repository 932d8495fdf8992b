// AvailabilityBudget: how many more hosts may go out, over the budget rows of all their domains.
//
//   AvailabilityBudget budget(rows); // as read from the table, with versions
//   budget.lose(lostHost);
//   if (budget.take(host, "wave-7"))
//       writes = budget.writes(); // commit them together with the host's draining row
//
// A unit is taken in every domain of the host or in none. Planned and accidental losses count
// together. The rows are changed by compare-and-set, so that two waves never overdraw a budget.
#pragma once

#include "controller/budgetrow.h"
#include "sequoiapier/table.h"

#include <map>
#include <span>

namespace sequoiapier {

struct VersionedBudgetRow
{
    BudgetRow row;
    std::uint64_t version = 0; // 0: not in the table yet
};

class AvailabilityBudget
{
public:
    explicit AvailabilityBudget(std::span<const VersionedBudgetRow> rows);

    // BudgetExhausted naming the domain that is full; NotFound if a domain has no row.
    // Ok for a host that `holder` has taken before.
    Result<void> take(const HostRow &host, std::string_view holder);
    // Counts a loss by accident, past the limit too; a host that is out already is not counted
    // twice.
    void lose(const HostRow &host);
    // Gives back the unit of `host`, planned or not.
    void release(const HostRow &host);
    // Gives back the unit of the host of this name in one domain.
    void releaseIn(std::string_view domain, std::string_view host);

    // nullptr if the host holds no unit.
    const BudgetUnit *unitOf(const HostRow &host) const;
    // nullptr for an unknown domain.
    const BudgetRow *find(std::string_view domain) const;
    std::size_t accidentCount(std::string_view domain) const;

    // The rows that differ from those read.
    std::vector<RowWrite> writes() const;

private:
    struct Entry
    {
        VersionedBudgetRow current;
        bool isChanged = false;
    };

    Entry *entry(std::string_view domain);

    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace sequoiapier
