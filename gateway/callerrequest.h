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
    std::string key; // empty if none was shown
    std::string requestId; // the caller's; empty if none was given
    TimePoint firstSent; // by the caller, under this identifier; its arrival if not told
    TimePoint deadline;
    bool isIdempotent = false;
    bool isUrgent = false;
};

inline constexpr std::string_view QueuePathPrefix = "/v1/queues/";
inline constexpr std::int64_t DefaultDeadlineMilliseconds = 10'000;
inline constexpr std::int64_t MaxDeadlineMilliseconds = 3'600'000;
inline constexpr std::size_t MaxRequestIdBytes = 128;

// Header names that the server must keep for parseCallerRequest().
std::vector<std::string> callerHeaderNames();

// RequestMalformed or QueueUnknown, naming the header at fault. `now` is the time of arrival.
Result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint now);

} // namespace sequoiapier
