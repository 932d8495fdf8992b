#include "testing/support/teamload.h"

#include <algorithm>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxConnections = 3'500;
constexpr unsigned MaxDescriptors = 4'096;
constexpr Duration AnswerGrace = std::chrono::seconds(1); // wait past a request's deadline

} // namespace

TeamLoad::TeamLoad(std::vector<TeamStream> streams, std::uint64_t seed)
    : m_streams(std::move(streams))
    , m_loop({.maxDescriptors = MaxDescriptors})
    , m_http(m_loop, {.maxConnections = MaxConnections, .keptHeaders = {"x-sequoiapier-code"}})
    , m_nextDue(m_streams.size())
    , m_phaseTimer(m_loop, [this] { startPhase(); })
{
    for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
        m_arrivals.push_back(std::make_unique<Timer>(m_loop, [this, stream] { send(stream); }));
        std::seed_seq seeds{seed, std::uint64_t(stream)};
        m_random.emplace_back(seeds);
    }
}

void TeamLoad::run(const std::vector<LoadPhase> &phases)
{
    m_phases = phases;
    m_phase = 0;
    startPhase();
    m_loop.run();
}

void TeamLoad::startPhase()
{
    if (m_isOver) {
        m_loop.stop();
        return;
    }
    if (m_phase == m_phases.size()) {
        stopArrivals();
        return;
    }
    ++m_phase;
    const TimePoint now = BootClock::now();
    for (std::size_t stream = 0; stream < m_streams.size(); ++stream)
        scheduleNext(stream, now);
    m_phaseTimer.startAt(now + m_phases[m_phase - 1].length);
}

void TeamLoad::stopArrivals()
{
    m_isOver = true;
    std::chrono::milliseconds longest{0};
    for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
        m_arrivals[stream]->cancel();
        longest = std::max(longest, m_streams[stream].deadline);
    }
    if (m_unanswered == 0)
        m_loop.stop();
    else
        m_phaseTimer.startAt(BootClock::now() + longest + AnswerGrace);
}

// Schedules the arrival after the one due at `due`. Arrivals that became due while the event loop
// was late are sent at once.
void TeamLoad::scheduleNext(std::size_t stream, TimePoint due)
{
    const TeamStream &settings = m_streams[stream];
    const double factor = settings.isSteady ? 1 : m_phases[m_phase - 1].factor;
    std::exponential_distribution<double> interval(settings.requestsPerSecond * factor);
    m_nextDue[stream] = due + Duration(std::int64_t(interval(m_random[stream]) * 1e6));
    m_arrivals[stream]->startAt(m_nextDue[stream]);
}

void TeamLoad::send(std::size_t stream)
{
    const TeamStream &settings = m_streams[stream];
    scheduleNext(stream, m_nextDue[stream]);
    std::vector<double> weights;
    for (const GatewayWeight &entry : settings.gateways)
        weights.push_back(entry.weight);
    std::discrete_distribution<std::size_t> gateway(weights.begin(), weights.end());
    std::uniform_int_distribution<std::int64_t> work(settings.meanWork.count() / 2,
                                                     settings.meanWork.count() * 3 / 2);
    const TimePoint now = BootClock::now();
    const std::size_t index = m_requests.size();
    const std::string id = settings.team + "." + settings.queue + "." + std::to_string(index);
    m_requests.push_back({.id = id, .stream = stream, .sentAt = now});
    HttpCall call{.address = "127.0.0.1",
                  .port = settings.gateways[gateway(m_random[stream])].port};
    call.deadline = now + settings.deadline + AnswerGrace;
    call.request = {.method = "POST",
                    .path = "/v1/queues/" + settings.queue,
                    .headers = {{"authorization", "Bearer " + settings.key},
                                {"x-deadline-ms", std::to_string(settings.deadline.count())},
                                {"x-idempotent", "true"},
                                {"x-urgent", settings.isUrgent ? "true" : "false"},
                                {"x-request-id", id}},
                    .body = "work-ms=" + std::to_string(work(m_random[stream]))};
    ++m_unanswered;
    m_http.call(std::move(call), [this, index](const HttpAnswer &answer) {
        LoadedRequest &request = m_requests[index];
        request.endedAt = BootClock::now();
        request.status = answer.response.status;
        request.code = headerValue(answer.response.headers, "x-sequoiapier-code");
        if (--m_unanswered == 0 && m_isOver)
            m_loop.stop();
    });
}

} // namespace sequoiapier
