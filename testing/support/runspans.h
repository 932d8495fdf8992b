// RunSpans: when each request ran, as the runners recorded it; the judge of shares and ceilings.
//
//   RunSpans spans = fetchRunSpans(system, {"runner-1", "runner-2"});
//   spans.slotSeconds({.team = "depot", .queue = "prices"}, from, until);
//
// Identifiers are those of TeamLoad. All processes of a test share one clock.
#pragma once

#include "testing/support/localsystem.h"

#include <optional>
#include <span>

namespace sequoiapier {

struct RunSpan
{
    std::string id;
    std::string team;
    std::string queue;
    TimePoint start;
    TimePoint end;
};

// Empty members match everything.
struct RunFilter
{
    std::string team = {};
    std::string queue = {};

    bool matches(const RunSpan &span) const
    {
        return (team.empty() || span.team == team) && (queue.empty() || span.queue == queue);
    }
};

class RunSpans
{
public:
    void add(RunSpan span) { m_spans.push_back(std::move(span)); }
    const std::vector<RunSpan> &all() const { return m_spans; }

    // Slot time between `from` and `until`. O(n).
    double slotSeconds(const RunFilter &filter, TimePoint from, TimePoint until) const;
    // The most that ran at any moment. O(n log n).
    std::int64_t peak(const RunFilter &filter) const;

private:
    std::vector<RunSpan> m_spans;
};

// Adds the record of a runner, a JSON array of [identifier, start, end] in microseconds; false if
// it is malformed.
bool addRunRecord(RunSpans &spans, std::string_view json);

// The records of `runners`; nullopt if one can't be read.
std::optional<RunSpans> fetchRunSpans(const LocalSystem &system,
                                      std::span<const std::string> runners);

} // namespace sequoiapier
