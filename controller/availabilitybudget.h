// AvailabilityBudget: decides whether one more host may be taken out of service, from the budget
// rows of all its domains.
//
//   AvailabilityBudget budget(rows); // rows and versions as read from the table
//   budget.recordLoss(lostHost);
//   if (budget.acquire(host, "wave-7"))
//       writes = budget.writes(); // commit them together with the host's draining row
//
// A host acquires a unit in each of its domains or in none. Planned and accidental losses count
// against the same limit. The rows are changed by compare-and-set, so that concurrent waves never
// exceed a budget.
#pragma once

#include "controller/budgetrow.h"
#include "sequoiapier/table.h"

#include <map>
#include <span>

namespace sequoiapier {

struct VersionedBudgetRow
{
    BudgetRow row;
    std::uint64_t version = 0; // 0 if the row is not in the table yet
};

class AvailabilityBudget
{
public:
    explicit AvailabilityBudget(std::span<const VersionedBudgetRow> rows);

    // Acquires a unit for `host` in each of its domains. Fails with BudgetExhausted, naming the
    // domain, if a domain is at its limit or the host holds units of another holder, and with
    // NotFound if a domain has no row. Succeeds without a change if `holder` has acquired the
    // host's units before.
    Result<void> acquire(const HostRow &host, std::string_view holder);
    // Records an accidental loss, even beyond the limit. A host that already holds a unit in
    // a domain is not counted twice there.
    void recordLoss(const HostRow &host);
    // Releases the units of `host` in all its domains, planned or accidental.
    void release(const HostRow &host);
    // Releases the unit that the named host holds in one domain, if any.
    void releaseIn(std::string_view domain, std::string_view host);

    // The unit of `host` in the first of its domains that has one; nullptr if it holds none.
    const BudgetUnit *unitOf(const HostRow &host) const;
    // Returns nullptr for an unknown domain.
    const BudgetRow *find(std::string_view domain) const;
    std::size_t accidentalLossCount(std::string_view domain) const;

    // Writes for the rows that changed since they were read.
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
