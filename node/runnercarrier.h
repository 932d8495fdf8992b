// RunnerCarrier: makes calls to runners for the owners of large pools, as their carrier.
//
//   RunnerCarrier carrier(loop, httpClient);
//   carrier.carry(message, reply);                   // replies when there is something to tell
//   carrier.leave();                                 // takes no new calls
//
// Answers are collected for CollectTime, so that one reply holds those of a moment. A message that
// finds no answers waits for them, at most WaitTime and until the next message of its session. The
// carrier decides nothing and keeps nothing beyond the calls under way.
//
// Cost: one call per call, O(log s) in sessions.
#pragma once

#include "gen/NodeService.h"
#include "net/httpclient.h"
#include "net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiapier {

class RunnerCarrier
{
public:
    using Reply = std::function<void(const api::CarryReply &)>;

    RunnerCarrier(Loop &loop, HttpClient &http);

    void carry(const api::CarryCall &message, Reply reply);
    void leave();

private:
    struct Session
    {
        std::vector<api::RunnerAnswer> answers; // Not told to the owner yet.
        Reply waiting; // Message that waits for answers; empty if there is none.
        TimePoint replyAt{};
        TimePoint usedAt{};
    };

    void start(const std::string &session, const api::RunnerCall &call);
    void onAnswer(const std::string &session, std::int64_t number, const HttpAnswer &answer);
    void reply(Session &session);
    void schedule(TimePoint due);
    void onTimer();

    HttpClient &m_http;
    std::map<std::string, Session> m_sessions;
    Timer m_timer;
    TimePoint m_timerDue{}; // Unset if the timer is not running.
    bool m_isLeaving = false;
};

} // namespace sequoiapier
