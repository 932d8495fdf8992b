// Units are found by linear search: a row holds few of them (at most its limit plus lost hosts).
#include "controller/availabilitybudget.h"

#include <algorithm>

namespace sequoiapier {

namespace {

auto findUnit(auto &row, std::string_view host)
{
    return std::find_if(row.units.begin(), row.units.end(),
                        [&](const BudgetUnit &unit) { return unit.host == host; });
}

} // namespace

AvailabilityBudget::AvailabilityBudget(std::span<const VersionedBudgetRow> rows)
{
    for (const VersionedBudgetRow &row : rows)
        m_entries[row.row.domain] = {.current = row};
}

AvailabilityBudget::Entry *AvailabilityBudget::entry(std::string_view domain)
{
    const auto found = m_entries.find(domain);
    return found != m_entries.end() ? &found->second : nullptr;
}

Result<void> AvailabilityBudget::acquire(const HostRow &host, std::string_view holder)
{
    const BudgetUnit *held = unitOf(host);
    if (held != nullptr && held->holder == holder)
        return boost::outcome_v2::success();
    for (const std::string &domain : domainsOf(host)) {
        const BudgetRow *row = find(domain);
        if (row == nullptr)
            return Error{ResultCode::NotFound, domain + " has no budget"};
        if (held != nullptr || row->units.size() >= row->limit)
            return Error{ResultCode::BudgetExhausted, domain + " has no unit free"};
    }
    for (const std::string &domain : domainsOf(host)) {
        Entry *changed = entry(domain);
        changed->current.row.units.push_back({host.host, std::string(holder)});
        changed->isChanged = true;
    }
    return boost::outcome_v2::success();
}

void AvailabilityBudget::recordLoss(const HostRow &host)
{
    for (const std::string &domain : domainsOf(host)) {
        Entry *changed = entry(domain);
        if (changed == nullptr)
            continue;
        BudgetRow &row = changed->current.row;
        if (findUnit(row, host.host) != row.units.end())
            continue;
        row.units.push_back({.host = host.host});
        changed->isChanged = true;
    }
}

void AvailabilityBudget::release(const HostRow &host)
{
    for (const std::string &domain : domainsOf(host))
        releaseIn(domain, host.host);
}

void AvailabilityBudget::releaseIn(std::string_view domain, std::string_view host)
{
    Entry *changed = entry(domain);
    if (changed == nullptr)
        return;
    BudgetRow &row = changed->current.row;
    const auto unit = findUnit(row, host);
    if (unit == row.units.end())
        return;
    row.units.erase(unit);
    changed->isChanged = true;
}

const BudgetUnit *AvailabilityBudget::unitOf(const HostRow &host) const
{
    for (const std::string &domain : domainsOf(host)) {
        const BudgetRow *row = find(domain);
        if (row == nullptr)
            continue;
        const auto unit = findUnit(*row, host.host);
        if (unit != row->units.end())
            return &*unit;
    }
    return nullptr;
}

const BudgetRow *AvailabilityBudget::find(std::string_view domain) const
{
    const auto found = m_entries.find(domain);
    return found != m_entries.end() ? &found->second.current.row : nullptr;
}

std::size_t AvailabilityBudget::accidentalLossCount(std::string_view domain) const
{
    const BudgetRow *row = find(domain);
    if (row == nullptr)
        return 0;
    return std::size_t(std::count_if(row->units.begin(), row->units.end(),
                                     [](const BudgetUnit &unit) { return unit.isAccidental(); }));
}

std::vector<RowWrite> AvailabilityBudget::writes() const
{
    std::vector<RowWrite> writes;
    for (const auto &[domain, entry] : m_entries) {
        if (!entry.isChanged)
            continue;
        writes.push_back({.key = budgetKey(domain),
                          .value = toJson(entry.current.row),
                          .baseVersion = entry.current.version});
    }
    return writes;
}

} // namespace sequoiapier
