// SecondAttempt: of an idempotent request whose first attempt has been silent for half of the time
// to its deadline. It goes to another runner on a connection of its own; the first whole answer of
// the two is the caller's.
#pragma once

#include "gateway/attemptunits.h"

#include <string>

namespace sequoiapier {

struct SecondAttempt
{
    std::string runner;
    AttemptUnits units;
};

} // namespace sequoiapier
