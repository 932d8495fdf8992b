// LoanRecord: the state that a Lender keeps for one borrower. Internal to Lender.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/loangrant.h"
#include "sequoiapier/loanreport.h"
#include "sequoiapier/shareplan.h"

#include <algorithm>

namespace sequoiapier::detail {

struct LoanRecord
{
    LoanReport last; // the latest report
    LoanGrant grant; // the answer to `last`
    TimePoint grantEnd{}; // end of the lease in `grant`
    TimePoint loanEnd{}; // latest end of any lease of this borrower
    std::int64_t limit = 0; // upper bound of the units in use, if isLimited
    bool isLimited = false; // whether fewer units than lent are known to be in use
    double averageDemand = 0; // units, averaged over recent reports
    TimePoint reportedAt{};
    std::int64_t share = 0; // units planned for this borrower by the last plan
    std::int64_t plannedMicroseconds = 0; // part of last.servedMicroseconds that plans have counted
    DeficitCounter counter = {}; // deficit within its group
    DeficitCounter groupCounter = {}; // deficit among groups, if it has no group

    // Units that the borrower may use now, or may still use once grants in transit arrive.
    std::int64_t exposure() const
    {
        const std::int64_t lent = std::max({last.held, last.inUse, grant.amount});
        return isLimited ? std::min(lent, limit) : lent;
    }
};

} // namespace sequoiapier::detail
