// A host's row is read after the units and changes with them in one commit. Hence, if the row names
// an operation other than the holder of a unit, the move that acquired the unit is finished.
#include "controller/moveunits.h"

#include <algorithm>
#include <map>

namespace sequoiapier {

namespace {

constexpr std::string_view HolderPrefix = "move/";

bool isOver(const BudgetUnit &unit, const std::string &domain, const HostRow &host)
{
    const auto domains = domainsOf(host);
    return isOfFinishedMove(unit, host)
        || (unit.holder.starts_with(HolderPrefix)
            && std::find(domains.begin(), domains.end(), domain) == domains.end());
}

} // namespace

std::string moveHolder(std::string_view operationId)
{
    return std::string(HolderPrefix) + std::string(operationId);
}

bool isOfFinishedMove(const BudgetUnit &unit, const HostRow &host)
{
    return unit.holder.starts_with(HolderPrefix) && host.operationId != unit.holder;
}

std::vector<RowWrite> releaseMoveUnits(const FleetRows &rows)
{
    std::map<std::string_view, std::size_t> hosts;
    for (std::size_t i = 0; i < rows.hosts.size(); ++i)
        hosts[rows.hosts[i].host] = i;
    AvailabilityBudget budget(rows.budgets);
    std::map<std::size_t, RowWrite> hostWrites;
    std::size_t released = 0;
    for (const VersionedBudgetRow &current : rows.budgets) {
        for (const BudgetUnit &unit : current.row.units) {
            const auto found = hosts.find(unit.host);
            if (found == hosts.end() || released == MaxReleasedUnits)
                continue;
            const HostRow &host = rows.hosts[found->second];
            if (!isOver(unit, current.row.domain, host))
                continue;
            budget.releaseIn(current.row.domain, unit.host);
            hostWrites[found->second] = {.key = hostKey(host.host),
                                         .value = toJson(host),
                                         .baseVersion = rows.hostVersions[found->second]};
            ++released;
        }
    }
    std::vector<RowWrite> writes = budget.writes();
    for (auto &[index, write] : hostWrites)
        writes.push_back(std::move(write));
    return writes;
}

} // namespace sequoiapier
