// BudgetRow: the hosts of one domain that are out now, planned and by accident, against its limit.
//
// Domains are "pool/NAME", "rack/NAME" and "zone/NAME"; each has a row of its own. A row holds at
// most its limit of planned units, and one unit for each host lost by accident.
#pragma once

#include "controller/hostrow.h"

#include <array>
#include <cstddef>
#include <vector>

namespace sequoiapier {

struct BudgetUnit
{
    std::string host;
    std::string holder; // identifier of the wave; empty for a loss by accident

    bool isAccident() const { return holder.empty(); }
    bool operator==(const BudgetUnit &) const = default;
};

struct BudgetRow
{
    std::string domain;
    std::uint32_t limit = 1; // hosts out at once
    std::uint64_t limitVersion = 0; // of a pool: the configuration that set the limit
    std::vector<BudgetUnit> units;

    bool operator==(const BudgetRow &) const = default;
};

inline constexpr std::string_view BudgetKeyPrefix = "budget/";

std::string budgetKey(std::string_view domain);

// The domains whose budgets count `host`: pool, rack, zone.
std::array<std::string, 3> domainsOf(const HostRow &host);

// RowMalformed unless `document` is a budget row that names each host once.
Result<BudgetRow> parseBudgetRow(std::string_view document);

std::string toJson(const BudgetRow &row);

} // namespace sequoiapier
