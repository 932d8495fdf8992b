// AdviceCalls: makes the calls for advice of all pools that a node owns, in the order and with the
// deadlines of jobs::AdviceSchedule.
//
//   AdviceCalls calls(loop, client, log, metrics);
//   AdviceCalls::Pool pool(calls, "vanload", hooks);  // for as long as the pool is owned
//   calls.update();                                   // when a pool's need may have changed
//
// A pool's question is taken from it when its call is sent, so that it is never older than the
// pool's last plan. A pool that is given up leaves at once; its open call goes on to count, since
// the service still works on it, and nobody gets the answer.
#pragma once

#include "jobs/adviceschedule.h"
#include "net/timer.h"
#include "node/decisionlog.h"
#include "platform/adviceclient.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sequoiapier {

class AdviceCalls
{
public:
    struct Hooks
    {
        // Returns the need of the pool's next question; nullopt if it has none.
        std::function<std::optional<jobs::AdviceNeed>()> need;
        // Returns the next question. Called only if there is a need.
        std::function<std::optional<jobs::AdviceQuestion>()> takeQuestion;
        std::function<void(const jobs::AdviceQuestion &, const jobs::AdviceAnswer &)> onAnswer;
    };

    // A pool's place among those that ask; it leaves when this is destroyed.
    class Pool
    {
    public:
        Pool(AdviceCalls &calls, std::string name, Hooks hooks);
        ~Pool();
        Pool(const Pool &) = delete;
        Pool &operator=(const Pool &) = delete;

    private:
        AdviceCalls &m_calls;
        std::uint64_t m_number;
    };

    AdviceCalls(Loop &loop, AdviceClient &client, DecisionLog &log, prometheus::Registry &metrics);

    // Sends the next call if the schedule allows one.
    void update();

private:
    struct Member
    {
        std::string name;
        Hooks hooks;
        // Since when the pool has had a question; unset if it has none.
        std::optional<TimePoint> waitingSince;
    };
    struct SentCall
    {
        std::uint64_t member = 0;
        std::string pool;
        jobs::AdviceQuestion question;
        jobs::AdviceSchedule::Call call;
        std::size_t openBefore = 0; // Open calls of this node when it was sent.
        Duration turnWait{}; // Time for which the pool waited for its turn.
    };

    bool askNext();
    void onAnswer(const SentCall &sent, const jobs::AdviceAnswer &answer);
    void report(const SentCall &sent, const jobs::AdviceAnswer &answer, bool isLate);
    void countOverdue(TimePoint now);

    AdviceClient &m_client;
    DecisionLog &m_log;
    jobs::AdviceSchedule m_schedule{{}};
    std::map<std::uint64_t, Member> m_members; // Pools that may ask, by number.
    std::uint64_t m_lastMember = 0;
    std::uint64_t m_overdueCounted = 0; // Number of the last call that was counted as overdue.
    std::optional<jobs::AdviceSchedule::Call> m_lastCall;
    Timer m_timer;
    prometheus::Family<prometheus::Counter> &m_calls;
    prometheus::Counter &m_overdue;
    prometheus::Histogram &m_answerTime; // seconds
    prometheus::Histogram &m_turnWait; // seconds
    prometheus::Gauge &m_openCalls;
    prometheus::Gauge &m_waitingPools;
};

} // namespace sequoiapier
