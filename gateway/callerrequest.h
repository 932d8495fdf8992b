// CallerRequest: a caller's HTTP request, parsed and checked.
//
//   POST /v1/queues/<queue>
//   authorization: Bearer <key>
//   x-deadline-ms: 2000          x-request-id: 8f1c...
//   x-idempotent: true           x-urgent: true
//   x-request-age-ms: 1500
#pragma once

#include "net/httpmessage.h"
#include "sequoiapier/bootclock.h"
#include "sequoiapier/result.h"

#include <string>

namespace sequoiapier {

struct CallerRequest
{
    std::string queue;
    std::string key; // bearer key; empty if the request has none
    std::string requestId; // chosen by the caller; empty if it sent none
    // When the caller first sent the request under this identifier; the time of arrival if the
    // caller does not say.
    TimePoint firstSent;
    TimePoint deadline;
    bool isIdempotent = false;
    bool isUrgent = false;
};

inline constexpr std::string_view QueuePathPrefix = "/v1/queues/";
inline constexpr std::int64_t DefaultDeadlineMilliseconds = 10'000;
inline constexpr std::int64_t MaxDeadlineMilliseconds = 3'600'000;
inline constexpr std::size_t MaxRequestIdBytes = 128;

// The names of the headers that parseCallerRequest() reads and the server must keep.
std::vector<std::string> callerHeaderNames();

// Fails with QueueUnknown for another path, or with RequestMalformed, whose detail names the header
// at fault. `now` is the time of arrival.
Result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint now);

} // namespace sequoiapier
