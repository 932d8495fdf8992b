// LoanRecord: what a lender remembers about one borrower. Part of Lender.
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
    LoanGrant grant; // the answer to it
    TimePoint grantEnd{}; // of the lease in that answer
    TimePoint loanEnd{}; // no lease of this borrower reaches past it
    std::int64_t limit = 0; // most units in use, when less than lent is shown to be
    bool isLimited = false;
    double averageDemand = 0; // units
    TimePoint reportedAt{};
    std::int64_t share = 0; // by the last plan
    std::int64_t countedMicroseconds = 0; // of what it was served, held against its group
    ShareTurn turn = {}; // within its group
    ShareTurn groupTurn = {}; // if it is of no group

    // Units that the borrower may use now or after any grant still on its way.
    std::int64_t exposure() const
    {
        const std::int64_t lent = std::max({last.held, last.inUse, grant.amount});
        return isLimited ? std::min(lent, limit) : lent;
    }
};

} // namespace sequoiapier::detail
