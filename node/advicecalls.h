// AdviceCalls: makes the calls for advice of all pools that a node owns.
//
//   calls.ask(pool, question, [](const std::optional<jobs::Advice> &advice) { ... });
//
// The service answers the calls of one node one after the other, so that a call also waits for
// those of the node's other pools. Each call is logged with its time and the number of calls that
// were under way when it was sent.
#pragma once

#include "node/decisionlog.h"
#include "platform/adviceclient.h"

#include <cstddef>
#include <string>

namespace sequoiapier {

class AdviceCalls
{
public:
    AdviceCalls(AdviceClient &client, DecisionLog &log)
        : m_client(client)
        , m_log(log)
    { }

    void ask(const std::string &pool, const jobs::AdviceQuestion &question,
             AdviceClient::Callback callback);

private:
    AdviceClient &m_client;
    DecisionLog &m_log;
    std::size_t m_openCount = 0;
};

} // namespace sequoiapier
