// Makes the HTTP response that tells a caller why no runner answered its request.
#pragma once

#include "net/httpmessage.h"
#include "sequoiapier/result.h"

#include <cstdint>

namespace sequoiapier {

// The response has the run state in a header and in its JSON body, and a retry-after header unless
// `retryAfterSeconds` is 0.
HttpResponse refusalResponse(const Error &error, std::uint32_t retryAfterSeconds);

} // namespace sequoiapier
