// AttemptUnits: the loans of which one attempt of a request holds a unit each.
#pragma once

#include "gateway/loanclient.h"

#include <optional>
#include <string>

namespace sequoiapier {

struct AttemptUnits
{
    std::string team; // that is charged
    std::optional<LoanKey> slot;
    std::optional<LoanKey> ceiling;
};

} // namespace sequoiapier
