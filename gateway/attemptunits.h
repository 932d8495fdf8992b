// AttemptUnits: the loaned units that one attempt of a request holds: a runner slot of the service
// and, if the team has a ceiling, a unit of that ceiling.
#pragma once

#include "gateway/loanclient.h"

#include <optional>
#include <string>

namespace sequoiapier {

struct AttemptUnits
{
    std::string team; // the team charged for the work
    std::optional<LoanKey> slot;
    std::optional<LoanKey> ceiling;
};

} // namespace sequoiapier
