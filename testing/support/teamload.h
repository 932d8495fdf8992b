// TeamLoad: an open-loop load of callers of several teams, who do not wait for each other's
// answers. It runs on one event loop, for tests and benchmarks with real processes.
//
//   TeamLoad load({{.team = "depot", .key = "k1", .queue = "prices", .requestsPerSecond = 100,
//                   .gateways = {{port1, 7}, {port2, 1}}}}, seed);
//   load.run({{.length = seconds(10), .factor = 2}});
//   for (const LoadedRequest &request : load.requests()) ...
//
// Each stream has Poisson arrivals, drawn from the seed and the stream's index. Request identifiers
// are "<team>.<queue>.<number>"; a runner's record of its runs has the same identifiers.
#pragma once

#include "net/httpclient.h"
#include "net/timer.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sequoiapier {

// The weight of a gateway among a stream's callers.
struct GatewayWeight
{
    std::uint16_t port = 0;
    double weight = 1;
};

struct TeamStream
{
    std::string team;
    std::string key;
    std::string queue;
    double requestsPerSecond = 1;
    std::vector<GatewayWeight> gateways;
    std::chrono::milliseconds meanWork{100}; // work is uniform in 0.5 to 1.5 times it
    std::chrono::milliseconds deadline{2'000};
    bool isUrgent = false;
    bool isSteady = false; // whether the rate is the same in every phase
};

struct LoadPhase
{
    Duration length;
    double factor = 1; // multiplies the streams' rates
};

struct LoadedRequest
{
    std::string id;
    std::size_t stream = 0;
    TimePoint sentAt;
    TimePoint endedAt; // the clock's epoch if not answered
    int status = 0;
    std::string code; // header x-sequoiapier-code of a refusal
};

class TeamLoad
{
public:
    TeamLoad(std::vector<TeamStream> streams, std::uint64_t seed);

    // Runs all phases, then waits for the answers, at most for the longest deadline plus one
    // second.
    void run(const std::vector<LoadPhase> &phases);
    // The requests of all calls of run(), in sending order.
    const std::vector<LoadedRequest> &requests() const { return m_requests; }
    const std::vector<TeamStream> &streams() const { return m_streams; }

private:
    void startPhase();
    void scheduleNext(std::size_t stream, TimePoint due);
    void send(std::size_t stream);
    void stopArrivals();

    std::vector<TeamStream> m_streams;
    Loop m_loop;
    HttpClient m_http;
    std::vector<std::unique_ptr<Timer>> m_arrivals; // by stream
    std::vector<TimePoint> m_nextDue; // by stream
    std::vector<std::mt19937_64> m_random; // by stream
    Timer m_phaseTimer;
    std::vector<LoadPhase> m_phases;
    std::size_t m_phase = 0;
    std::size_t m_unanswered = 0;
    bool m_isOver = false;
    std::vector<LoadedRequest> m_requests;
};

} // namespace sequoiapier
