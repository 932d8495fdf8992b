#include "scheduler/teamdemand.h"

#include "peer/lendableresources.h"

#include <algorithm>
#include <cmath>

namespace sequoiapier {

std::uint32_t TeamDemand::weight(const LoanReport &report, std::uint32_t share, TimePoint now)
{
    Borrowers &borrowers = m_teams[teamOfBorrower(report.borrower.name)];
    borrowers[report.borrower.name] = {report.wanted, now + EntryLifetime};
    std::erase_if(borrowers, [now](const auto &entry) { return entry.second.expiry <= now; });
    std::int64_t total = 0;
    for (const auto &[name, demand] : borrowers)
        total += demand.wanted;
    const double part = total > 0 ? double(report.wanted) / double(total) : 0;
    return std::uint32_t(std::max(1.0, std::round(double(share) * WeightScale * part)));
}

} // namespace sequoiapier
