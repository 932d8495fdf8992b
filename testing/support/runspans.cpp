#include "testing/support/runspans.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sequoiapier {

namespace {

TimePoint toTimePoint(const nlohmann::json &microseconds)
{
    return TimePoint(Duration(microseconds.get<std::int64_t>()));
}

} // namespace

double RunSpans::slotSeconds(const RunFilter &filter, TimePoint from, TimePoint until) const
{
    Duration total{0};
    for (const RunSpan &span : m_spans) {
        const Duration overlap = std::min(span.end, until) - std::max(span.start, from);
        if (filter.matches(span) && overlap > Duration(0))
            total += overlap;
    }
    return std::chrono::duration<double>(total).count();
}

std::int64_t RunSpans::peak(const RunFilter &filter) const
{
    std::vector<std::pair<TimePoint, int>> changes;
    for (const RunSpan &span : m_spans) {
        if (!filter.matches(span))
            continue;
        changes.emplace_back(span.start, 1);
        changes.emplace_back(span.end, -1);
    }
    std::sort(changes.begin(), changes.end()); // at equal times, ends sort before starts
    std::int64_t running = 0;
    std::int64_t highest = 0;
    for (const auto &[time, change] : changes) {
        running += change;
        highest = std::max(highest, running);
    }
    return highest;
}

bool addRunRecord(RunSpans &spans, std::string_view json)
{
    const nlohmann::json runs = nlohmann::json::parse(json, nullptr, false);
    if (!runs.is_array())
        return false;
    for (const nlohmann::json &run : runs) {
        const std::string id = run.at(0).get<std::string>();
        const auto first = id.find('.');
        const auto second = id.find('.', first + 1);
        if (second == std::string::npos)
            continue;
        spans.add({id, id.substr(0, first), id.substr(first + 1, second - first - 1),
                   toTimePoint(run.at(1)), toTimePoint(run.at(2))});
    }
    return true;
}

std::optional<RunSpans> fetchRunSpans(const LocalSystem &system,
                                      std::span<const std::string> runners)
{
    RunSpans spans;
    for (const std::string &runner : runners) {
        const HttpAnswer answer = system.fetch(runner, "/spans");
        if (answer.outcome != HttpOutcome::Answered || !addRunRecord(spans, answer.response.body))
            return std::nullopt;
    }
    return spans;
}

} // namespace sequoiapier
