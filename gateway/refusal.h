// The HTTP response that tells a caller why its request was not answered by a runner.
#pragma once

#include "net/httpmessage.h"
#include "sequoiapier/result.h"

#include <cstdint>

namespace sequoiapier {

// `retryAfterSeconds` 0: no advice. The run state is in a header and in the body.
HttpResponse refusalResponse(const Error &error, std::uint32_t retryAfterSeconds);

} // namespace sequoiapier
