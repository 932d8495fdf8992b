// LoanGrant: a lender's answer to one LoanReport.
#pragma once

#include "sequoiapier/resultcode.h"

#include <cstdint>
#include <string>

namespace sequoiapier {

struct LoanGrant
{
    std::string resource;
    std::uint64_t sequence = 0; // sequence number of the report that this answers
    std::uint64_t epoch = 0; // ownership epoch of the lender
    std::int64_t amount = 0; // units lent in total; replaces what was held before
    std::int64_t termMilliseconds = 0; // lease term, counted from when the report was sent
    // Demand exceeds the capacity: the borrower is to return idle units with its next report.
    bool isContended = false;
    ResultCode code = ResultCode::Ok; // unless Ok, the borrower ignores all other fields
};

} // namespace sequoiapier
