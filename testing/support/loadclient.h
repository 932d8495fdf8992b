// LoadClient: a closed-loop HTTP load generator on one event loop, for benchmarks and failure tests
// with real processes.
//
//   LoadResult result = runLoad({.ports = {port}, .path = "/v1/queues/q", .concurrency = 8,
//                                .requestCount = 20'000, .bodyBytes = 200});
//
// Each of `concurrency` slots sends its next request when its previous one was answered, but not
// before the request is due at `requestsPerSecond` (0: no rate limit).
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
    std::string requestIdPrefix; // empty: requests carry no identifiers
    // Whether a request without an answer is sent once more through the next port, with the same
    // identifier and with its age.
    bool repeatsUnanswered = false;
    // Whether a request refused as not run is sent once more in the same way.
    bool repeatsRefused = false;
    // Whether the simulated load balancer leaves out a port. An empty function leaves out none.
    std::function<bool(std::uint16_t port)> isLeftOut;
    std::chrono::milliseconds deadline{5'000}; // the client's own; not sent
    // Called before each request with the number of earlier requests.
    std::function<void(unsigned startedCount)> onStart;
};

// The outcome of one request as its caller saw it.
struct LoadOutcome
{
    std::string requestId;
    std::uint16_t port = 0;
    TimePoint sentAt;
    bool isRepeat = false; // whether it repeats the previous outcome's request
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0;
    std::string runState; // from the response header
    double microseconds = 0;
};

struct LoadResult
{
    unsigned okCount = 0;
    unsigned otherCount = 0;
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
    std::vector<LoadOutcome> outcomes; // one entry per attempt
};

LoadResult runLoad(const LoadOptions &options);

} // namespace sequoiapier
