#include "testing/standin/advicestandin.h"

#include "platform/jsonfields.h"

#include <chrono>

namespace sequoiapier {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t MaxWaitingCalls = 32; // Calls of one node.
constexpr int StatusTooManyRequests = 429;

std::string ticketKey(const std::string &step, const std::string &runner, const std::string &ticket)
{
    return step + "/" + runner + "/" + ticket;
}

} // namespace

void AdviceStandin::configure(const json &options)
{
    m_decideMilliseconds = numberField(options, "decideMs").value_or(0);
    m_eachMilliseconds = numberField(options, "eachMs").value_or(0);
    m_validMilliseconds = numberField(options, "validMs").value_or(0);
    m_delayMilliseconds = numberField(options, "delayMs").value_or(0);
    m_isBusy = flagField(options, "isBusy");
    m_isSilent = flagField(options, "isSilent");
}

void AdviceStandin::serve(const std::string &node, const std::shared_ptr<HttpExchange> &exchange)
{
    std::deque<Call> &waiting = m_waiting[node];
    if (m_isSilent)
        m_unanswered.push_back(exchange);
    else if (m_isBusy || waiting.size() > MaxWaitingCalls)
        exchange->reply({.status = StatusTooManyRequests});
    else
        waiting.push_back({.exchange = exchange});
}

void AdviceStandin::advance(TimePoint now)
{
    for (auto &[node, waiting] : m_waiting) {
        if (waiting.empty())
            continue;
        Call &first = waiting.front();
        if (first.endsAt == TimePoint{}) {
            const json body = parseBody(first.exchange->request().body);
            const auto runners = std::int64_t(listField(body, "workers").size());
            first.endsAt = now
                + milliseconds(m_decideMilliseconds + m_eachMilliseconds * runners
                               + m_delayMilliseconds);
        }
        if (now < first.endsAt)
            continue;
        answer(first, now);
        waiting.pop_front();
    }
}

void AdviceStandin::answer(const Call &call, TimePoint now)
{
    ++(call.exchange->isOpen() ? m_answered : m_abandoned);
    if (!call.exchange->isOpen())
        return;
    const json body = parseBody(call.exchange->request().body);
    const std::string step = textField(body, "step").value_or("");
    json approved = json::array();
    for (const json &runner : listField(body, "workers")) {
        const std::string ticket = "t" + std::to_string(++m_ticketCount);
        m_tickets[ticketKey(step, runner.get<std::string>(), ticket)]
            = now + milliseconds(m_validMilliseconds);
        approved.push_back({runner, ticket});
    }
    const json reply{{"approved", approved}, {"valid_ms", m_validMilliseconds}};
    call.exchange->reply({.headers = {{"content-type", "application/json"}}, .body = reply.dump()});
}

bool AdviceStandin::isValid(const std::string &step, const std::string &runner,
                            const std::string &ticket, TimePoint now) const
{
    if (m_validMilliseconds == 0)
        return true;
    const auto found = m_tickets.find(ticketKey(step, runner, ticket));
    return found != m_tickets.end() && now < found->second;
}

json AdviceStandin::record() const
{
    return {{"answered", m_answered}, {"abandoned", m_abandoned}};
}

} // namespace sequoiapier
