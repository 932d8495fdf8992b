// Dispatcher: queues admitted requests, starts each on a runner while it holds borrowed units, and
// answers each exactly once.
//
//   dispatcher.configure(configuration);
//   dispatcher.submit(exchange, request, queue, team);
//   dispatcher.drain(deadline, done);
//
// A request starts when its queue is next, a runner is available, and a slot of the service and a
// unit of the team's ceiling can be taken. The leases of both units, the request's key and the
// configuration are checked again right before the first byte is written. RequestState decides what
// the caller is told.
#pragma once

#include "gateway/heldrequest.h"
#include "gateway/servicestate.h"
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
        // Whether the configuration is confirmed, so that requests may start. They always may if
        // this is empty.
        std::function<bool()> mayStartRequests = {};
        // Whether the key with this digest is still valid. All keys are valid if this is empty.
        std::function<bool(std::string_view keyDigest)> isKeyValid = {};
        // Called when a recorded request certainly did not run. `done` then sends the caller the
        // refusal.
        std::function<void(const RequestDigest &, std::function<void()> done)> onNotRun = {};
    };

    Dispatcher(Daemon &daemon, PeerNode &node, Options options);

    // Starts to borrow units. The node must have joined.
    void start();
    void configure(const Configuration &configuration);
    // Sets the hosts, by IP address, whose runners get no new requests.
    void setLeavingHosts(const LiveListClient::Addresses &addresses);
    // Takes a request that was admitted to `queue` for `team` (empty without a key). `digest` is
    // set if the request is recorded to detect duplicates.
    void submit(std::shared_ptr<HttpExchange> exchange, CallerRequest request,
                const std::string &queue, std::string team, std::optional<RequestDigest> digest);
    // Calls `done` once no request is held. At `deadline` all held requests are answered with what
    // is known of them.
    void drain(TimePoint deadline, std::function<void()> done);
    // Answers `exchange` with a refusal and counts the refusal.
    void refuse(HttpExchange &exchange, const Error &error);
    std::size_t heldCount() const { return m_held.size(); }

private:
    using Held = std::unordered_map<std::uint64_t, HeldRequest>;

    struct DelayedRelease
    {
        TimePoint due;
        LoanKey key;
    };

    void enqueue(std::uint64_t id);
    void dispatch(ServiceState &serviceState);
    bool dispatchOne(ServiceState &serviceState, TimePoint now);
    TeamQueues *nextQueue(ServiceState &serviceState);
    AttemptUnits takeUnits(const ServiceState &serviceState, const QueuedRequest &request,
                           TimePoint now);
    std::optional<LoanKey> findSlot(const ServiceState &serviceState, std::string_view team,
                                    bool isUrgent, TimePoint now);
    bool hasCeilingUnit(std::string_view team, TimePoint now);
    bool mayStart(const ServiceState &serviceState, std::string_view team, bool isUrgent,
                  TimePoint now);
    void startAttempt(ServiceState &serviceState, std::uint64_t id, TimePoint now);
    HttpCall makeCall(const HeldRequest &held, const std::string &runner);
    bool maySend(const HeldRequest &held, const AttemptUnits &units);
    bool checkBeforeSend(std::uint64_t id);
    void onAttemptEnded(std::uint64_t id, HttpAnswer answer);
    void startSecondAttemptTimer(HeldRequest &held, TimePoint now);
    void onSecondAttemptDue(std::uint64_t id);
    void startSecondAttempt(ServiceState &serviceState, std::uint64_t id, std::string runner,
                            TimePoint now);
    bool checkBeforeSecondSend(std::uint64_t id);
    void onSecondAttemptEnded(std::uint64_t id, HttpAnswer answer);
    bool isKeyValid(const HeldRequest &held) const;
    void markLeaving(ServiceState &serviceState) const;
    void reportOverdue(HeldRequest &held);
    void onDeadline(std::uint64_t id);
    void onEvent(std::uint64_t id, RequestEvent event, HttpResponse *response);
    void apply(std::uint64_t id, RequestStep step, HttpResponse *response);
    void retry(std::uint64_t id);
    void finish(HeldRequest &held, ResultCode code, HttpResponse *response);
    void applyUnitAction(HeldRequest &held, UnitAction action);
    void releaseUnits(AttemptUnits &units, TimePoint due);
    void release(const LoanKey &key, TimePoint now);
    void releaseDelayed();
    void eraseIfDone(std::uint64_t id);
    void refuseOverdue(ServiceState &serviceState, TimePoint now);
    void tick();
    std::int64_t demand(const LoanKey &key);
    void count(ResultCode code);

    Daemon &m_daemon;
    Options m_options;
    LoanClient m_loans;
    std::map<std::string, ServiceState, std::less<>> m_services; // by service name
    std::set<std::string, std::less<>> m_ceilings; // names of the teams that have a ceiling
    LiveListClient::Addresses m_leavingHosts;
    Held m_held;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_attemptCount = 0;
    std::map<LoanKey, ServedTime> m_served; // time in use, by resource and charged team
    std::deque<DelayedRelease> m_delayedReleases; // in the order of `due`
    Timer m_tickTimer;
    Timer m_drainTimer;
    std::function<void()> m_drained;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Gauge &m_queuedGauge;
    prometheus::Gauge &m_heldGauge;
    std::map<ResultCode, prometheus::Counter *> m_counters;
};

} // namespace sequoiapier
