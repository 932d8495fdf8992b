#include "jobs/runner.h"

#include <array>

namespace sequoiapier::jobs {

bool fits(const Resources &size, const Resources &room)
{
    constexpr double Tolerance = 1e-6;
    return size.processors <= room.processors + Tolerance && size.memory <= room.memory + Tolerance
        && size.accelerators <= room.accelerators + Tolerance;
}

std::string describeContact(const Runner &runner, TimePoint now)
{
    std::string text = runner.isListed ? "listed, " : "not listed, ";
    text += runner.bornAt == 0 ? "has not reported" : "born " + std::to_string(runner.bornAt);
    if (runner.hasRestarted())
        text += ", has restarted";
    if (runner.answeredAt != TimePoint{})
        text += ", last answer " + formatMilliseconds(now - runner.answeredAt) + " ago";
    return text;
}

std::string_view toString(EndKind kind)
{
    static constexpr std::array<std::string_view, 6> Names{"done",   "failed", "stopped",
                                                           "lapsed", "broken", "alone"};
    return Names[std::size_t(kind)];
}

std::string_view toString(StartOutcome outcome)
{
    static constexpr std::array<std::string_view, 11> Names{
        "started", "rejected",  "no-room",    "old-run",  "late",      "fenced",
        "ticket",  "unhealthy", "other-life", "not-sent", "unanswered"};
    return Names[std::size_t(outcome)];
}

} // namespace sequoiapier::jobs
