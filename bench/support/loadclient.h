// LoadClient: a closed-loop HTTP load from one loop, for benchmarks with real processes.
//
//   LoadResult result = runLoad({.port = port, .path = "/v1/queues/q", .concurrency = 8,
//                                .requestCount = 20'000, .bodyBytes = 200});
//
// Each of `concurrency` slots sends its next request when the last was answered, at the earliest
// when it is due at `requestsPerSecond` (0: at once).
#pragma once

#include "net/httpmessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiapier {

struct LoadOptions
{
    std::uint16_t port = 0;
    std::string path;
    std::vector<HttpHeader> headers;
    unsigned concurrency = 1;
    unsigned requestCount = 1'000;
    std::size_t bodyBytes = 200;
    double requestsPerSecond = 0;
};

struct LoadResult
{
    unsigned okCount = 0;
    unsigned otherCount = 0;
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
};

LoadResult runLoad(const LoadOptions &options);

} // namespace sequoiapier
