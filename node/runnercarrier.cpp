#include "node/runnercarrier.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr Duration CollectTime = milliseconds(8);
constexpr Duration WaitTime = milliseconds(1'000);
// A session that is not used for so long belongs to a process that has ended.
constexpr Duration SessionTimeout = milliseconds(10'000);
constexpr Duration MaxCallTime = milliseconds(5'000);

} // namespace

RunnerCarrier::RunnerCarrier(Loop &loop, HttpClient &http)
    : m_http(http)
    , m_timer(loop, [this] { onTimer(); })
{ }

void RunnerCarrier::carry(const api::CarryCall &message, Reply answer)
{
    const TimePoint now = BootClock::now();
    Session &session = m_sessions[message.session];
    session.usedAt = now;
    if (session.waiting)
        reply(session);
    session.waiting = std::move(answer);
    session.replyAt = now + (session.answers.empty() ? WaitTime : CollectTime);
    schedule(session.replyAt);
    for (const api::RunnerCall &call : message.calls)
        start(message.session, call);
}

// A call that can't be made is answered as not sent.
void RunnerCarrier::start(const std::string &session, const api::RunnerCall &call)
{
    const bool hasPort = call.port > 0 && call.port <= std::numeric_limits<std::uint16_t>::max();
    const Duration timeout
        = std::clamp(Duration(call.timeoutMicroseconds), Duration{}, MaxCallTime);
    if (m_isLeaving || !hasPort || timeout == Duration{}) {
        onAnswer(session, call.number, {.outcome = HttpOutcome::NotSent});
        return;
    }
    HttpCall request{.address = call.address,
                     .port = std::uint16_t(call.port),
                     .deadline = BootClock::now() + timeout,
                     .connectionUse = ConnectionUse::ReuseProved};
    request.request = {.method = "POST", .path = call.path, .body = call.body};
    for (std::size_t i = 0; i + 1 < call.headers.size(); i += 2)
        request.request.headers.push_back({call.headers[i], call.headers[i + 1]});
    m_http.call(std::move(request),
                [this, session, number = call.number](const HttpAnswer &answer) {
                    onAnswer(session, number, answer);
                });
}

void RunnerCarrier::onAnswer(const std::string &name, std::int64_t number, const HttpAnswer &answer)
{
    const auto found = m_sessions.find(name);
    if (found == m_sessions.end())
        return; // The owner has ended.
    api::RunnerAnswer item;
    item.number = number;
    item.isSent = answer.outcome != HttpOutcome::NotSent;
    if (answer.outcome == HttpOutcome::Answered) {
        item.status = answer.response.status;
        item.body = answer.response.body;
    }
    Session &session = found->second;
    session.answers.push_back(std::move(item));
    if (!session.waiting)
        return; // The next message gets it.
    session.replyAt = std::min(session.replyAt, BootClock::now() + CollectTime);
    schedule(session.replyAt);
}

void RunnerCarrier::reply(Session &session)
{
    api::CarryReply message;
    message.answers = std::exchange(session.answers, {});
    message.isLeaving = m_isLeaving;
    const Reply answer = std::exchange(session.waiting, nullptr);
    answer(message);
}

void RunnerCarrier::leave()
{
    m_isLeaving = true;
    for (auto &[name, session] : m_sessions) {
        if (session.waiting)
            reply(session);
    }
}

void RunnerCarrier::schedule(TimePoint due)
{
    if (m_timerDue != TimePoint{} && m_timerDue <= due)
        return;
    m_timerDue = due;
    m_timer.startAt(due);
}

void RunnerCarrier::onTimer()
{
    m_timerDue = {};
    const TimePoint now = BootClock::now();
    std::erase_if(m_sessions,
                  [&](const auto &item) { return now > item.second.usedAt + SessionTimeout; });
    for (auto &[name, session] : m_sessions) {
        if (session.waiting && now >= session.replyAt)
            reply(session);
    }
    for (auto &[name, session] : m_sessions) {
        if (session.waiting)
            schedule(session.replyAt);
    }
}

} // namespace sequoiapier
