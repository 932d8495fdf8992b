// SecondAttempt: the second attempt of an idempotent request whose first attempt has not been
// answered for half of the time to the deadline. It is sent to another runner on a connection of
// its own. The caller gets the first complete answer of the two.
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
