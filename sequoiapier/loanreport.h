// LoanReport: a borrower's report of its state to the lender of one resource.
//
// A report contains the borrower's whole state, so lost, repeated and reordered reports do no harm.
// Each report is made for one lender and sent only to that one: a retry is a new report with the
// next sequence number.
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
    std::uint64_t epoch = 0; // epoch of the loan held, 0 if none
    std::int64_t held = 0; // units under which work may be started
    std::int64_t inUse = 0; // units with work started and not known to have ended
    // Time that units were in use for this borrower's own work, summed over units and over all
    // loans. It never decreases.
    std::int64_t servedMicroseconds = 0;
    std::int64_t wanted = 0; // demand in units, including those in use
    // Weight in the max-min share when demand exceeds capacity; that of the group if there is one.
    // 0 counts as 1.
    std::uint32_t weight = 1;
    // The borrowers of a group divide its share in proportion to their demand. A borrower without
    // a group name is a group of its own. Set by the lender's process.
    std::string group = {};
    std::uint64_t accepted = 0; // sequence of the last grant accepted, 0 if none
};

} // namespace sequoiapier
