// LoanReport: what a borrower tells the lender of one resource.
//
// A report is the borrower's whole state, so loss, repeat and reorder change nothing. Each report
// is made for one lender and sent to it alone: a retry is a new report with the next sequence.
#pragma once

#include "sequoiapier/memberid.h"

#include <cstdint>
#include <string>

namespace sequoiapier {

struct LoanReport
{
    std::string resource;
    MemberId borrower;
    std::uint64_t sequence = 0; // grows with every report of this borrower for this resource
    std::uint64_t epoch = 0; // of the loan held, 0 if none
    std::int64_t held = 0; // units under which work may be started
    std::int64_t inUse = 0; // units with work started and not shown to have ended
    // Time that units were in use for this borrower's own work, on whatever loan; only grows.
    std::int64_t servedMicroseconds = 0;
    std::int64_t wanted = 0; // demand in units, with those in use
    std::uint32_t weight = 1; // share when all is full, of the group if it has one; 0 counts as 1
    // Borrowers of one group share its part in proportion to their demand; empty: a group of its
    // own. Set by the lender's process.
    std::string group = {};
    std::uint64_t accepted = 0; // sequence of the last grant accepted, 0 if none
};

} // namespace sequoiapier
