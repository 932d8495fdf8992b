// Ingress: serves callers' requests on this host. It finds the queue, checks the key and passes the
// call to the pool's owner.
//
//   Ingress ingress(relay, operators, log, metrics);
//   ingress.serve(exchange);   // for each request to the server
//
// A refusal with status 429 or 503 is certain: the job was not accepted and never runs.
#pragma once

#include "gen/node_types.h"
#include "net/httpexchange.h"
#include "node/decisionlog.h"
#include "node/jobrelay.h"
#include "node/operatorwatch.h"
#include "node/queueroutes.h"
#include "platform/callerapi.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>

namespace sequoiapier {

class Ingress
{
public:
    Ingress(JobRelay &relay, const OperatorWatch &operators, DecisionLog &log,
            prometheus::Registry &metrics);

    // Sets the number of values that a body may have, and a hook for each body that has more.
    void setJsonLimit(std::size_t maxValues, std::function<void()> onExceeded);

    void serve(const std::shared_ptr<HttpExchange> &exchange);
    // Sets the time by which all requests are answered, since this process ends.
    void setAnswerDeadline(TimePoint end) { m_answerDeadline = end; }
    // Adopts the newer configuration of OperatorWatch.
    void onConfiguration();

private:
    struct Request
    {
        std::shared_ptr<HttpExchange> exchange;
        CallerRequest call;
        TimePoint arrivedAt;
        std::string queue;
        std::string pool;
        std::string job;
        std::string team;
    };
    using RequestPtr = std::shared_ptr<Request>;

    // Returns Ok and sets the request's team, or returns the reason of the refusal.
    ResultCode checkKey(Request &request, const QueueConfig &queue) const;
    void callOwner(const RequestPtr &request, const QueueConfig &queue);
    void relay(const RequestPtr &request, const api::JobCall &call);
    void onOwnerReply(const RequestPtr &request, const api::JobCall &call,
                      const api::JobReply &reply);
    void askOtherPools(const RequestPtr &request, api::JobCall call, std::size_t next);
    void askFormerPools(const RequestPtr &request, const api::JobCall &call, api::JobReply home);
    void onFormerPoolsAsked(const RequestPtr &request, api::JobCall call,
                            const api::JobReply &home);
    bool isActive(const std::string &pool) const;
    void answer(const RequestPtr &request, const CallerAnswer &answer);
    static CallerAnswer toAnswer(const api::JobReply &reply, const api::JobCall &call);

    JobRelay &m_relay;
    const OperatorWatch &m_operators;
    DecisionLog &m_log;
    Configuration m_configuration;
    QueueRoutes m_routes;
    TimePoint m_answerDeadline = TimePoint::max();
    std::size_t m_maxJsonValues = DefaultMaxJsonValues;
    std::function<void()> m_onJsonLimit;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Histogram &m_latency;
};

} // namespace sequoiapier
