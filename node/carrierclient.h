// CarrierClient: makes an owner's calls to its runners through other nodes, its carriers.
//
//   CarrierClient carriers({.direct = ..., .send = ..., .now = BootClock::now, .wakeAt = ...});
//   carriers.setCarriers("node-1/7", {{"node-4", endpoint}, {"node-9", endpoint}});
//   carriers.call(httpCall, onAnswer);               // through the carrier of the runner
//   carriers.onWake();                               // at the time asked for with wakeAt
//
// Calls of the same moment and carrier go in one message, and so do the answers, so that the owner
// pays for a few messages instead of several thousand calls a second. A carrier only relays: all
// times in the bodies are on the runners' clocks, so that a carrier that is late causes no more
// than a slow network would.
//
// If a carrier does not answer in time, all its calls count as lost and it is left out for
// RetryInterval; calls that did not reach it are made directly. A call whose answer is lost may
// have been carried out, exactly as if it had been sent directly.
//
// Cost: O(c) for each call in the number of carriers, O(p) for each wake in pending calls.
#pragma once

#include "gen/NodeService.h"
#include "net/endpoint.h"
#include "net/httpcall.h"
#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sequoiapier {

class CarrierClient
{
public:
    static constexpr Duration CollectTime = std::chrono::milliseconds(1);
    // Time that a carrier may take beyond the call's own deadline.
    static constexpr Duration AnswerMargin = std::chrono::milliseconds(200);
    static constexpr Duration RetryInterval = std::chrono::seconds(5);

    // Called with the reply, or nullptr if there is none; `isSent` is false if no byte was sent.
    using SendCallback = std::function<void(const api::CarryReply *reply, bool isSent)>;

    struct Hooks
    {
        std::function<void(HttpCall, HttpCallback)> direct;
        std::function<void(const Endpoint &, const api::CarryCall &, TimePoint deadline,
                           SendCallback)>
            send;
        std::function<TimePoint()> now;
        // Asks for a call of onWake() at that time; replaces an earlier request.
        std::function<void(TimePoint)> wakeAt;
        std::function<void(const std::string &carrier, std::string_view why)> onFailed;
    };

    struct Carrier
    {
        std::string name;
        Endpoint endpoint;

        bool operator==(const Carrier &) const = default;
    };

    explicit CarrierClient(Hooks hooks);

    // `session` names this process. Calls under way at a carrier that is not in the list any more
    // are still awaited. Without carriers all calls are made directly.
    void setCarriers(std::string session, const std::vector<Carrier> &carriers);
    void call(HttpCall call, HttpCallback callback);
    void onWake();
    std::uint64_t carriedCount() const { return m_number; }

private:
    struct Pending
    {
        HttpCall call;
        HttpCallback callback;
        std::string carrier;
        bool isQueued = true; // Not sent to the carrier yet.
    };
    struct State
    {
        Endpoint endpoint;
        bool isChosen = false; // False if it only has calls under way.
        std::vector<std::int64_t> queue; // Calls to be sent next.
        std::size_t pendingCount = 0;
        std::size_t exchanges = 0; // Messages that have not been answered.
        TimePoint leftOutUntil{};
    };

    std::string pick(const HttpCall &call) const;
    void flush(const std::string &name, State &state);
    void onReply(const std::string &name, const std::vector<std::int64_t> &numbers,
                 const api::CarryReply *reply, bool isSent);
    void fail(const std::string &name, std::string_view why);
    void finish(std::int64_t number, HttpAnswer answer);
    void expire();
    void scheduleWake();

    Hooks m_hooks;
    std::string m_session;
    std::map<std::string, State> m_carriers;
    std::vector<std::string> m_usable; // Names of the carriers that get new calls.
    std::map<std::int64_t, Pending> m_pending; // By number.
    std::int64_t m_number = 0;
    TimePoint m_flushAt{};
    TimePoint m_nextExpiry{};
    TimePoint m_wakeDue{}; // Unset if no wake was asked for.
};

} // namespace sequoiapier
