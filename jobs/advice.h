// Advice: which runners the policy of a queue allows to run a step. The policy is an outside
// service that takes a known time for each question and answers the questions of one node one after
// the other.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

// Why a step needs advice. Lower values are asked about first.
enum class AdviceNeed : std::uint8_t {
    Room, // The step's turn has come and a runner has room for it.
    Ahead, // The step's turn is expected to come by the time of the answer.
    NoRoom, // The step's turn has come, but no runner has room for it.
};

struct AdviceQuestion
{
    std::string step; // Job, occurrence and step number, as in the names of the step's tasks.
    AdviceNeed need = AdviceNeed::Room;
    std::vector<std::string> runners;
    Duration serviceTime{}; // Time that the service takes for the answer.
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

enum class AdviceOutcome : std::uint8_t {
    Answered,
    Rejected, // The service does not accept this question.
    Busy, // The service accepts no question now.
    Unanswered, // No answer by the call's deadline, or a lost connection.
    NotSent,
};

struct AdviceAnswer
{
    AdviceOutcome outcome = AdviceOutcome::Unanswered;
    Advice advice; // Set if Answered.
    std::optional<TimePoint> retryAt; // When the service accepts questions again, if it says so.
};

std::string_view toString(AdviceNeed need);
std::string_view toString(AdviceOutcome outcome);

} // namespace sequoiapier::jobs
