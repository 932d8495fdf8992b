// AdviceStandin simulates the platform's recommendation service, which approves every runner.
//
//   AdviceStandin advice;
//   advice.configure({{"decideMs", 1000}, {"validMs", 3000}});
//   advice.serve("node-1", exchange);
//   advice.advance(now);                           // every few milliseconds
//   advice.isValid("a.0.0", "i-1", ticket, now);
//
// It answers the calls of one node one after the other. A call whose caller has gone takes as long
// as any other. configure() sets:
//   "decideMs", "eachMs"   time for an answer, and for each runner in the question
//   "validMs"              lifetime of the tickets; 0 if starts need no ticket
//   "delayMs"              time that an answer takes besides
//   "isBusy": true         every call gets 429
//   "isSilent": true       calls get no answer
#pragma once

#include "net/httpserver.h"
#include "sequoiapier/bootclock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace sequoiapier {

class AdviceStandin
{
public:
    void configure(const nlohmann::json &options);
    void serve(const std::string &node, const std::shared_ptr<HttpExchange> &exchange);
    void advance(TimePoint now);
    bool isValid(const std::string &step, const std::string &runner, const std::string &ticket,
                 TimePoint now) const;
    // Returns the number of calls that were answered, and of those whose caller had gone.
    nlohmann::json record() const;

private:
    struct Call
    {
        std::shared_ptr<HttpExchange> exchange;
        TimePoint endsAt{}; // Unset until its turn comes.
    };

    void answer(const Call &call, TimePoint now);

    std::int64_t m_decideMilliseconds = 0;
    std::int64_t m_eachMilliseconds = 0;
    std::int64_t m_validMilliseconds = 0;
    std::int64_t m_delayMilliseconds = 0;
    bool m_isBusy = false;
    bool m_isSilent = false;
    std::map<std::string, std::deque<Call>> m_waiting; // Calls by node.
    std::deque<std::shared_ptr<HttpExchange>> m_unanswered;
    std::map<std::string, TimePoint> m_tickets; // End of validity by step, runner and ticket.
    std::uint64_t m_ticketCount = 0;
    int m_answered = 0;
    int m_abandoned = 0;
};

} // namespace sequoiapier
