// AdviceBoard: caches on which runners an external policy allows the steps of one pool to run, and
// decides which step is asked about next, and for how many runners.
//
//   board.clearRequest();                            // in each plan, then for each step:
//   if (board.accepts(step, need, now))
//       board.request({.step = step, .need = need, .runners = runners, ...});
//   if (auto question = board.takeQuestion()) ...    // in the pool's turn, see AdviceSchedule
//   board.onAnswer(*question, answer, now);
//   std::string_view ticket = board.ticket(step, runner, now);
//
// The load: more steps wait than the service can answer for, many of them without room, and their
// tickets expire within seconds. Answers then go to the steps that can use them: first those with
// room for a task, then those that are due soon, then those without room. Among equal needs a step
// whose last tickets expired unused comes later, and it pauses for longer each time.
//
// A refused runner is never asked about again, an approved one only when its ticket expires.
// Memory: one decision for each step and runner until the job ends. Cost: O(log n) in steps.
#pragma once

#include "jobs/advice.h"
#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

class AdviceBoard
{
public:
    struct Options
    {
        std::size_t maxRunners = 30; // Maximum number of runners in one question.
        // Time for a start to reach the runner before the ticket expires. At most half of the
        // ticket's lifetime.
        Duration ticketMargin = std::chrono::milliseconds(300);
        // First pause of a step whose tickets expired unused or whose question was rejected. It
        // doubles each time, up to maxPause.
        Duration pause = std::chrono::milliseconds(500);
        Duration maxPause = std::chrono::seconds(10);
        // Number of answers that a step with room may leave unused before it pauses.
        unsigned unusedAnswers = 2;
    };

    struct Request
    {
        std::string step;
        AdviceNeed need = AdviceNeed::Room;
        std::span<const std::string> runners; // The most useful ones first.
        std::size_t wantedRunners = 1; // Number of runners that the waiting tasks would fill.
        // Time that the service takes for an answer, and for each runner in the question.
        Duration baseTime{};
        Duration runnerTime{};
    };

    explicit AdviceBoard(Options options)
        : m_options(options)
    { }

    // Returns an empty ticket unless there is one that will still be valid when a start arrives.
    std::string_view ticket(std::string_view step, std::string_view runner, TimePoint now) const;
    // Returns whether the policy may approve the runner; false once it has refused the runner.
    bool canBeApproved(std::string_view step, std::string_view runner) const;

    // Discards the request for a question; requests are made anew in each plan.
    void clearRequest() { m_request.reset(); }
    // Returns whether a request for the step would be made now.
    bool accepts(std::string_view step, AdviceNeed need, TimePoint now) const;
    // Replaces an earlier request. Ignored without runners.
    void request(const Request &request);
    // The need of the step to be asked about next; nullopt if there is none.
    std::optional<AdviceNeed> need() const;
    std::optional<AdviceQuestion> takeQuestion();
    void onAnswer(const AdviceQuestion &question, const AdviceAnswer &answer, TimePoint now);

    // Called when a task of the step is placed with a ticket.
    void onTicketUsed(std::string_view step);
    // Forgets the ticket that the runner refused.
    void forgetTicket(std::string_view step, std::string_view runner);
    void forgetRunner(std::string_view runner);
    void forgetJob(std::string_view job);

private:
    struct Decision
    {
        bool isApproved = false;
        std::string ticket;
        TimePoint validUntil;
    };
    struct StepRecord
    {
        std::map<std::string, Decision, std::less<>> decisions; // Decisions by runner.
        unsigned unusedAnswers = 0; // Answers with tickets since a ticket was used.
        unsigned rejections = 0; // Rejected questions since an answer.
        TimePoint pausedUntil{}; // No question about the step before that.
        TimePoint usefulFrom{}; // No question before that while the step has no room.
    };

    const Decision *find(std::string_view step, std::string_view runner) const;
    Duration pause(unsigned count) const;
    std::size_t runnerCount(const Request &request) const;
    void record(StepRecord &step, const AdviceQuestion &question, const Advice &advice,
                TimePoint now) const;

    Options m_options;
    std::map<std::string, StepRecord, std::less<>> m_steps;
    std::optional<AdviceQuestion> m_request;
    unsigned m_requestUnusedAnswers = 0; // Of the requested step.
};

} // namespace sequoiapier::jobs
