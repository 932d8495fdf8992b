// AdviceSchedule: decides which pool of a node asks for advice next, and until when its call is
// waited for. Pure: the caller passes the time and makes the calls.
//
//   if (auto pool = schedule.next(waiting, now)) {
//       const AdviceSchedule::Call call = schedule.begin(*pool, question.serviceTime, now);
//       ... // send it with call.deadline, then:
//       schedule.end(call.number, answer.outcome, answer.retryAt, now);
//   }
//
// The load: one node owns several pools whose steps all need advice, and the service answers the
// calls of a node one after the other, also those that their caller has given up. If each pool
// asked by itself, a call would wait behind those of all others, be given up while the service is
// at work on it, and cost its time all the same: beyond a certain number of pools no call would
// ever be answered in time.
//
// So a node has one call under way at a time. Pools take turns by the service time that they have
// used (start-time fair queueing, by the time that answers really took), so that a pool with many
// steps gets no more than its part while others ask; needs come before turns, see AdviceNeed. A
// call that is overdue is not given up: the next one may be sent behind it, and its answer is used
// when it comes. The time after which a call is overdue grows with its own service time, with the
// calls before it, with the delay of the last answer and with each call that stays without an
// answer. So it passes any time that a slow service takes, and a silent service gets few calls.
//
// Cost: O(p) in waiting pools. Memory: Options::maxOpenCalls calls and one number for each pool.
#pragma once

#include "jobs/advice.h"
#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier::jobs {

class AdviceSchedule
{
public:
    struct Options
    {
        // Delay of an answer beyond its service time that is not yet counted as overdue.
        Duration answerDelay = std::chrono::milliseconds(500);
        // Bound of the time that is added for the delay of the last answer and for missing answers.
        Duration maxDelay = std::chrono::seconds(5);
        // An overdue call is kept for at least this long after it was sent, and for at least
        // patienceFactor times the time after which it was overdue.
        Duration minPatience = std::chrono::seconds(20);
        int patienceFactor = 4;
        std::size_t maxOpenCalls = 8; // The service refuses more than 32 of a node.
        // Pause after a call that the service did not take. It doubles each time, up to maxPause.
        Duration pause = std::chrono::milliseconds(200);
        Duration maxPause = std::chrono::seconds(2);
        // Bound of the time to retry that the service asks for.
        Duration maxRetryDelay = std::chrono::seconds(10);
    };

    struct Waiting
    {
        std::string pool;
        AdviceNeed need = AdviceNeed::Room;
    };

    struct Call
    {
        std::uint64_t number = 0;
        std::string pool;
        TimePoint sentAt{};
        Duration serviceTime{};
        TimePoint overdueAt{}; // Another call may be sent from then on.
        TimePoint deadline{}; // The answer is waited for until then.
    };

    explicit AdviceSchedule(Options options)
        : m_options(options)
    { }

    // Returns the pool that asks next; nullopt if no pool may ask now.
    std::optional<std::string> next(std::span<const Waiting> waiting, TimePoint now) const;
    // Returns when a call may be made if no call ends before.
    TimePoint nextCallAt() const;
    // Records a call for the pool that is sent now.
    Call begin(const std::string &pool, Duration serviceTime, TimePoint now);
    // Records the end of the call. `retryAt` is when the service accepts calls again, if it says
    // so.
    void end(std::uint64_t number, AdviceOutcome outcome, std::optional<TimePoint> retryAt,
             TimePoint now);
    // Forgets the service time that the pool has used.
    void forgetPool(const std::string &pool) { m_used.erase(pool); }

    std::size_t openCount() const { return m_open.size(); }
    // Returns whether the call is open and overdue.
    bool isOverdue(std::uint64_t number, TimePoint now) const;

private:
    Duration allowance() const;
    void chargeDelay(const Call &answered, TimePoint now);

    Options m_options;
    std::vector<Call> m_open; // Open calls in the order in which they were sent.
    std::uint64_t m_lastNumber = 0;
    unsigned m_unanswered = 0; // Calls sent since the last answer.
    unsigned m_refused = 0; // Calls in a row that the service did not take.
    TimePoint m_pausedUntil{};
    TimePoint m_answeredAt{}; // Time of the last answer.
    Duration m_delay{}; // Delay of the last answer beyond its service time.
    Duration m_turn{}; // Service time at which the last turn began.
    std::map<std::string, Duration> m_used; // Service time at which each pool's last turn ended.
};

} // namespace sequoiapier::jobs
