// LoadClient: a closed-loop HTTP load from one loop, for benchmarks and failure tests with real
// processes.
//
//   LoadResult result = runLoad({.ports = {port}, .path = "/v1/queues/q", .concurrency = 8,
//                                .requestCount = 20'000, .bodyBytes = 200});
//
// Each of `concurrency` slots sends its next request when the last was answered, at the earliest
// when it is due at `requestsPerSecond` (0: at once).
#pragma once

#include "net/httpcall.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sequoiapier {

struct LoadOptions
{
    std::vector<std::uint16_t> ports;
    std::string path;
    std::vector<HttpHeader> headers;
    unsigned concurrency = 1;
    unsigned requestCount = 1'000;
    std::size_t bodyBytes = 200;
    double requestsPerSecond = 0;
    std::string requestIdPrefix; // empty: no identifiers
    // A request that got no answer is sent once more through the next port, under its identifier
    // and with its age.
    bool repeatsUnanswered = false;
    // Likewise a request refused as not run.
    bool repeatsRefused = false;
    // Whether the balancer in front of the ports leaves one out. Empty: none.
    std::function<bool(std::uint16_t port)> isLeftOut;
    std::chrono::milliseconds deadline{5'000}; // of the client; not sent
    // Called before each request with the number of those before it.
    std::function<void(unsigned startedCount)> onStart;
};

// How one request ended, as its caller saw it.
struct LoadOutcome
{
    std::string requestId;
    std::uint16_t port = 0;
    TimePoint sentAt;
    bool isRepeat = false; // of the outcome before it under the same identifier
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0;
    std::string runState; // from the answer's header
    double microseconds = 0;
};

struct LoadResult
{
    unsigned okCount = 0;
    unsigned otherCount = 0;
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
    std::vector<LoadOutcome> outcomes; // of every attempt
};

LoadResult runLoad(const LoadOptions &options);

} // namespace sequoiapier
