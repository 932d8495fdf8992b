// LoanGrant: a lender's answer to one LoanReport.
#pragma once

#include "sequoiapier/resultcode.h"

#include <cstdint>
#include <string>

namespace sequoiapier {

struct LoanGrant
{
    std::string resource;
    std::uint64_t sequence = 0; // of the report it answers
    std::uint64_t epoch = 0; // of the lender's ownership
    std::int64_t amount = 0; // units lent in all, in place of what was held before
    std::int64_t termMilliseconds = 0; // from the moment at which the report was sent
    bool isContended = false; // more is wanted than there is: idle units are to be returned at once
    ResultCode code = ResultCode::Ok; // all else is to be ignored unless Ok
};

} // namespace sequoiapier
