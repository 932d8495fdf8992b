#include "controller/budgetrow.h"

#include "controller/rowcodec.h"

#include <set>

namespace sequoiapier {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BudgetUnit, host, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BudgetRow, domain, limit, limitVersion, units)

std::string budgetKey(std::string_view domain)
{
    return std::string(BudgetKeyPrefix) + std::string(domain);
}

std::array<std::string, 3> domainsOf(const HostRow &host)
{
    return {"pool/" + host.pool, "rack/" + host.rack, "zone/" + host.zone};
}

Result<BudgetRow> parseBudgetRow(std::string_view document)
{
    Result<BudgetRow> row = detail::parseRow<BudgetRow>(document, "budget row");
    if (!row)
        return row;
    std::set<std::string_view> hosts;
    for (const BudgetUnit &unit : row.value().units) {
        if (unit.host.empty() || !hosts.insert(unit.host).second)
            return Error{ResultCode::RowMalformed, "budget row names a host twice or not at all"};
    }
    return row;
}

std::string toJson(const BudgetRow &row)
{
    return nlohmann::json(row).dump();
}

} // namespace sequoiapier
