// AttemptUnits: the loans of which one attempt of a request holds a unit each.
#pragma once

#include "gateway/loanclient.h"

#include <optional>

namespace sequoiapier {

struct AttemptUnits
{
    std::optional<LoanKey> slot;
    std::optional<LoanKey> ceiling;
};

} // namespace sequoiapier
