// BudgetRow: the limit of one domain and the hosts of the domain that are out of service, planned
// or by accident.
//
// Domains are "pool/NAME", "rack/NAME" and "zone/NAME"; each has its own row. A row holds at most
// as many planned units as its limit, plus one unit for each host lost by accident.
#pragma once

#include "controller/hostrow.h"

#include <array>
#include <cstddef>
#include <vector>

namespace sequoiapier {

struct BudgetUnit
{
    std::string host;
    std::string holder; // wave identifier or moveHolder(); empty for an accidental loss

    bool isAccidental() const { return holder.empty(); }
    bool operator==(const BudgetUnit &) const = default;
};

struct BudgetRow
{
    std::string domain;
    std::uint32_t limit = 1; // hosts that may be out of service at once
    std::uint64_t limitVersion = 0; // pools only: version of the configuration that set the limit
    std::vector<BudgetUnit> units;

    bool operator==(const BudgetRow &) const = default;
};

inline constexpr std::string_view BudgetKeyPrefix = "budget/";

std::string budgetKey(std::string_view domain);

// The domains whose budgets `host` counts against: its pool, rack and zone, in this order.
std::array<std::string, 3> domainsOf(const HostRow &host);

// Fails with RowMalformed unless `document` is a budget row that names no host twice.
Result<BudgetRow> parseBudgetRow(std::string_view document);

std::string toJson(const BudgetRow &row);

} // namespace sequoiapier
