// Dispatcher: queues admitted requests, starts each under borrowed units on one runner, and answers
// each once.
//
//   dispatcher.configure(configuration);
//   dispatcher.submit(exchange, request, queue, team);
//   dispatcher.drain(deadline, done);
//
// A request starts when its queue's turn comes, a runner takes work, and a slot of the service and
// a unit of the team's ceiling are held under a lease that is checked again right before the first
// byte is written, as are its key and the configuration. The rules of what the caller is told are
// RequestState's.
#pragma once

#include "gateway/heldrequest.h"
#include "gateway/servicelane.h"
#include "platform/livelistclient.h"
#include "sequoiapier/servedtime.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>

#include <deque>
#include <unordered_map>

namespace sequoiapier {

class Dispatcher
{
public:
    struct Options
    {
        Duration longestWork = std::chrono::minutes(1);
        std::uint64_t seed = 1;
        // Whether work may start at all: the configuration is confirmed. Empty: yes.
        std::function<bool()> mayTakeWork = {};
        // Whether the key with this digest may still hand in work. Empty: yes.
        std::function<bool(std::string_view keyDigest)> isKeyValid = {};
        // A recorded request certainly did not run; its caller is told so by `done`.
        std::function<void(const RequestDigest &, std::function<void()> done)> onNotRun = {};
    };

    Dispatcher(Daemon &daemon, PeerNode &node, Options options);

    // Starts to borrow; the node must have joined.
    void start();
    void configure(const Configuration &configuration);
    // Hosts, by IP number, whose runners get nothing new.
    void setLeavingHosts(const LiveListClient::Addresses &addresses);
    // Takes a request that was admitted to `queue` for `team` (empty without a key). `digest` is
    // set if it is recorded against repeats.
    void submit(std::shared_ptr<HttpExchange> exchange, CallerRequest request,
                const std::string &queue, std::string team, std::optional<RequestDigest> digest);
    // Calls `done` once nothing is held; at `deadline` all that is held is answered as it stands.
    void drain(TimePoint deadline, std::function<void()> done);
    // Answers `exchange` with a refusal and counts it.
    void refuse(HttpExchange &exchange, const Error &error);
    std::size_t heldCount() const { return m_held.size(); }

private:
    using Held = std::unordered_map<std::uint64_t, HeldRequest>;

    struct LateRelease
    {
        TimePoint due;
        LoanKey key;
    };

    void enqueue(std::uint64_t id);
    void dispatch(ServiceLane &lane);
    bool dispatchOne(ServiceLane &lane, TimePoint now);
    TeamQueues *nextQueue(ServiceLane &lane);
    AttemptUnits takeUnits(const ServiceLane &lane, const QueuedRequest &request, TimePoint now);
    std::optional<LoanKey> findSlot(const ServiceLane &lane, std::string_view team, bool isUrgent,
                                    TimePoint now);
    bool hasCeilingUnit(std::string_view team, TimePoint now);
    bool mayStart(const ServiceLane &lane, std::string_view team, bool isUrgent, TimePoint now);
    void startAttempt(ServiceLane &lane, std::uint64_t id, TimePoint now);
    HttpCall makeCall(const HeldRequest &held, const std::string &runner);
    bool maySend(const HeldRequest &held, const AttemptUnits &units);
    bool onBytesLeaving(std::uint64_t id);
    void onAttemptEnded(std::uint64_t id, HttpAnswer answer);
    void startPatience(HeldRequest &held, TimePoint now);
    void onPatienceOver(std::uint64_t id);
    void startSecond(ServiceLane &lane, std::uint64_t id, std::string runner, TimePoint now);
    bool onSecondBytesLeaving(std::uint64_t id);
    void onSecondEnded(std::uint64_t id, HttpAnswer answer);
    bool isKeyValid(const HeldRequest &held) const;
    void markLeaving(ServiceLane &lane) const;
    void reportOverdue(HeldRequest &held);
    void onDeadline(std::uint64_t id);
    void onEvent(std::uint64_t id, RequestEvent event, HttpResponse *response);
    void apply(std::uint64_t id, RequestStep step, HttpResponse *response);
    void retry(std::uint64_t id);
    void finish(HeldRequest &held, ResultCode code, HttpResponse *response);
    void settleUnits(HeldRequest &held, UnitUse use);
    void releaseUnits(AttemptUnits &units, TimePoint due);
    void release(const LoanKey &key, TimePoint now);
    void releaseLate();
    void forgetIfDone(std::uint64_t id);
    void refuseOverdue(ServiceLane &lane, TimePoint now);
    void tick();
    std::int64_t demand(const LoanKey &key);
    void count(ResultCode code);

    Daemon &m_daemon;
    Options m_options;
    LoanClient m_loans;
    std::map<std::string, ServiceLane, std::less<>> m_lanes; // by service
    std::set<std::string, std::less<>> m_ceilings; // teams that have one
    LiveListClient::Addresses m_leavingHosts;
    Held m_held;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_attemptCount = 0;
    std::map<LoanKey, ServedTime> m_served; // for work of the team
    std::deque<LateRelease> m_lateReleases; // by due time
    Timer m_tickTimer;
    Timer m_drainTimer;
    std::function<void()> m_drained;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Gauge &m_queuedGauge;
    prometheus::Gauge &m_heldGauge;
    std::map<ResultCode, prometheus::Counter *> m_counters;
};

} // namespace sequoiapier
