// RunSpans: start and end of each request's run as recorded by the runners. Tests of shares and
// ceilings check against it.
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

// Selects runs. Empty members match every run.
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

    // Slot time used between `from` and `until`, in seconds. O(n).
    double slotSeconds(const RunFilter &filter, TimePoint from, TimePoint until) const;
    // The highest number of concurrent runs. O(n log n).
    std::int64_t peak(const RunFilter &filter) const;

private:
    std::vector<RunSpan> m_spans;
};

// Adds a runner's record, a JSON array of [identifier, start, end] in microseconds; false if
// it is malformed.
bool addRunRecord(RunSpans &spans, std::string_view json);

// Fetches the records of `runners`; nullopt if one cannot be read.
std::optional<RunSpans> fetchRunSpans(const LocalSystem &system,
                                      std::span<const std::string> runners);

} // namespace sequoiapier
