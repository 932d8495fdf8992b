// AdviceBoard: caches on which runners an external policy allows a step to run, and decides what to
// ask the policy next.
//
//   board.request(step, runners, timeout);           // in order of rank; the first is asked
//   if (auto question = board.takeQuestion(now)) ... // send it to the policy, then:
//   board.onAdvice(*question, advice, now);          // nullopt if there was no answer
//   std::string_view ticket = board.ticket(step, runner, now);
//
// The policy answers slowly, with a fixed time for each call and an additional time for each runner
// named, and it answers calls one after the other. So only one question is outstanding at a time.
// It concerns the step with the highest rank and all its undecided runners together, up to
// maxRunners. A refused runner is never asked about again, an approved one only when its ticket
// expires. Steps whose turn has not come are asked about while there is no other question. Memory:
// one decision for each step and runner until the job ends.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

struct AdviceQuestion
{
    std::string step; // Job, occurrence and step number, as in the names of the step's tasks.
    std::vector<std::string> runners;
    Duration timeout{}; // Maximum time for the answer.
};

struct Approval
{
    std::string runner;
    std::string ticket; // Must be sent with a start on the runner.
};

struct Advice
{
    std::vector<Approval> approvals; // Runners that are missing here may not run the step.
    Duration validity{}; // Lifetime of the tickets.
};

class AdviceBoard
{
public:
    struct Options
    {
        std::size_t maxRunners = 30; // Maximum number of runners in one question.
        // Time for a start to reach the runner before the ticket expires.
        Duration ticketMargin = std::chrono::milliseconds(300);
        // Pause after a question without an answer.
        Duration retryDelay = std::chrono::milliseconds(200);
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
    bool hasRequest() const { return m_request.has_value(); }
    void request(std::string_view step, std::span<const std::string> runners, Duration timeout);
    std::optional<AdviceQuestion> takeQuestion(TimePoint now);
    void onAdvice(const AdviceQuestion &question, const std::optional<Advice> &advice,
                  TimePoint now);

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
    using Decisions = std::map<std::string, Decision, std::less<>>; // Decisions by runner.

    const Decision *find(std::string_view step, std::string_view runner) const;

    Options m_options;
    std::map<std::string, Decisions, std::less<>> m_steps;
    std::optional<AdviceQuestion> m_request;
    bool m_isAsking = false;
    TimePoint m_nextQuestionAt{};
};

} // namespace sequoiapier::jobs
