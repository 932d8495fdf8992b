#include "node/carrierclient.h"

#include "sequoiapier/rendezvous.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

// Calls in one message; a start carries up to 4,000 bytes of its job.
constexpr std::size_t MaxCallsInMessage = 64;
// Much longer than a carrier holds a message back: an owner that falls behind must not lose its
// carriers for it. Late answers to the calls show a silent carrier much sooner.
constexpr Duration MessageTimeout = std::chrono::milliseconds(5'000);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(50);

} // namespace

CarrierClient::CarrierClient(Hooks hooks)
    : m_hooks(std::move(hooks))
{ }

void CarrierClient::setCarriers(std::string session, const std::vector<Carrier> &carriers)
{
    m_session = std::move(session);
    const TimePoint now = m_hooks.now();
    for (auto &[name, state] : m_carriers)
        state.isChosen = false;
    m_usable.clear();
    for (const Carrier &carrier : carriers) {
        State &state = m_carriers[carrier.name];
        state.endpoint = carrier.endpoint;
        state.isChosen = true;
        if (now >= state.leftOutUntil)
            m_usable.push_back(carrier.name);
    }
    std::erase_if(m_carriers, [&](const auto &item) {
        const State &state = item.second;
        return !state.isChosen && state.pendingCount == 0 && state.exchanges == 0
            && now >= state.leftOutUntil;
    });
}

// All calls to one runner go through the same carrier, which keeps its connections.
std::string CarrierClient::pick(const HttpCall &call) const
{
    const std::string runner = call.address + ":" + std::to_string(call.port);
    return m_usable[rendezvousPick(runner, m_usable)];
}

void CarrierClient::call(HttpCall call, HttpCallback callback)
{
    if (m_usable.empty()) {
        m_hooks.direct(std::move(call), std::move(callback));
        return;
    }
    const std::string carrier = pick(call);
    const std::int64_t number = ++m_number;
    m_pending[number] = {std::move(call), std::move(callback), carrier};
    State &state = m_carriers[carrier];
    state.queue.push_back(number);
    ++state.pendingCount;
    if (m_flushAt == TimePoint{})
        m_flushAt = m_hooks.now() + CollectTime;
    scheduleWake();
}

void CarrierClient::scheduleWake()
{
    if (m_pending.empty() && m_flushAt == TimePoint{})
        return;
    const TimePoint due = m_flushAt != TimePoint{} ? m_flushAt : m_nextExpiry;
    if (m_wakeDue != TimePoint{} && m_wakeDue <= due)
        return;
    m_wakeDue = due;
    m_hooks.wakeAt(due);
}

void CarrierClient::onWake()
{
    const TimePoint now = m_hooks.now();
    m_wakeDue = {};
    if (m_flushAt != TimePoint{} && now >= m_flushAt) {
        m_flushAt = {};
        // A message may be answered, and so a carrier fail, while it is sent.
        std::vector<std::string> names;
        for (const auto &[name, state] : m_carriers) {
            if (!state.queue.empty())
                names.push_back(name);
        }
        for (const std::string &name : names)
            flush(name, m_carriers[name]);
    }
    if (now >= m_nextExpiry) {
        // After a delay of this process, answers may have arrived that it has not read yet.
        const bool isPunctual = now < m_nextExpiry + ExpiryInterval;
        m_nextExpiry = now + ExpiryInterval;
        if (isPunctual)
            expire();
    }
    scheduleWake();
}

void CarrierClient::flush(const std::string &name, State &state)
{
    const TimePoint now = m_hooks.now();
    const Endpoint endpoint = state.endpoint;
    std::vector<std::int64_t> queue = std::exchange(state.queue, {});
    do {
        const std::size_t count = std::min(queue.size(), MaxCallsInMessage);
        const std::vector<std::int64_t> numbers(queue.begin(),
                                                queue.begin() + std::ptrdiff_t(count));
        queue.erase(queue.begin(), queue.begin() + std::ptrdiff_t(count));
        api::CarryCall message;
        message.session = m_session;
        for (const std::int64_t number : numbers) {
            const auto pending = m_pending.find(number);
            if (pending == m_pending.end())
                continue;
            pending->second.isQueued = false;
            const HttpCall &call = pending->second.call;
            api::RunnerCall item;
            item.number = number;
            item.address = call.address;
            item.port = call.port;
            item.path = call.request.path;
            for (const HttpHeader &header : call.request.headers) {
                item.headers.push_back(header.name);
                item.headers.push_back(header.value);
            }
            item.body = call.request.body;
            item.timeoutMicroseconds = std::max<std::int64_t>((call.deadline - now).count(), 0);
            message.calls.push_back(std::move(item));
        }
        ++m_carriers[name].exchanges;
        m_hooks.send(endpoint, message, now + MessageTimeout,
                     [this, name, numbers](const api::CarryReply *reply, bool isSent) {
                         onReply(name, numbers, reply, isSent);
                     });
    } while (!queue.empty());
}

void CarrierClient::onReply(const std::string &name, const std::vector<std::int64_t> &numbers,
                            const api::CarryReply *reply, bool isSent)
{
    State &state = m_carriers[name];
    --state.exchanges;
    if (reply == nullptr) {
        if (!isSent) {
            for (const std::int64_t number : numbers) {
                const auto pending = m_pending.find(number);
                if (pending != m_pending.end())
                    pending->second.isQueued = true;
            }
        }
        fail(name, isSent ? "no answer" : "not reached");
        return;
    }
    if (reply->isLeaving) {
        state.leftOutUntil = m_hooks.now() + RetryInterval;
        std::erase(m_usable, name);
    }
    for (const api::RunnerAnswer &answer : reply->answers) {
        HttpAnswer result{.outcome = answer.status != 0 ? HttpOutcome::Answered
                              : answer.isSent           ? HttpOutcome::Lost
                                                        : HttpOutcome::NotSent};
        result.response.status = answer.status;
        result.response.body = answer.body;
        finish(answer.number, std::move(result));
    }
    // One message always waits at a carrier that has calls under way.
    const auto carrier = m_carriers.find(name);
    if (carrier != m_carriers.end() && carrier->second.exchanges == 0
        && carrier->second.pendingCount > carrier->second.queue.size()) {
        flush(name, carrier->second);
    }
}

void CarrierClient::finish(std::int64_t number, HttpAnswer answer)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return; // It has expired.
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    --m_carriers[pending.carrier].pendingCount;
    pending.callback(std::move(answer));
}

// The carrier's calls are lost, but for those that it can't have received.
void CarrierClient::fail(const std::string &name, std::string_view why)
{
    m_hooks.onFailed(name, why);
    State &state = m_carriers[name];
    state.leftOutUntil = m_hooks.now() + RetryInterval;
    state.queue.clear();
    std::erase(m_usable, name);
    std::vector<std::int64_t> numbers;
    for (const auto &[number, pending] : m_pending) {
        if (pending.carrier == name)
            numbers.push_back(number);
    }
    for (const std::int64_t number : numbers) {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            continue;
        if (!found->second.isQueued) {
            finish(number, {.outcome = HttpOutcome::Lost, .timedOut = true});
            continue;
        }
        Pending pending = std::move(found->second);
        m_pending.erase(found);
        --m_carriers[name].pendingCount;
        m_hooks.direct(std::move(pending.call), std::move(pending.callback));
    }
}

void CarrierClient::expire()
{
    const TimePoint now = m_hooks.now();
    std::vector<std::string> late;
    for (const auto &[number, pending] : m_pending) {
        if (now >= pending.call.deadline + AnswerMargin
            && std::find(late.begin(), late.end(), pending.carrier) == late.end()) {
            late.push_back(pending.carrier);
        }
    }
    for (const std::string &name : late)
        fail(name, "answers are late");
}

} // namespace sequoiapier
