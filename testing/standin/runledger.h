// RunLedger records which task ran on which runner. It reports a violation when a task runs twice
// at once, or runs again after its end as done, if that end was acknowledged then or later.
#pragma once

#include "jobs/runner.h"
#include "sequoiapier/bootclock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct RecordedRun
{
    jobs::TaskName task;
    std::uint64_t run = 0;
    std::string runner;
    std::string checkpoint; // Checkpoint that the run resumed from.
    TimePoint begin;
    std::optional<TimePoint> end;
    std::string outcome; // How the run ended; empty while it runs.
};

class RunLedger
{
public:
    void begin(RecordedRun run);
    void end(const jobs::TaskName &task, std::uint64_t run, std::string_view how, TimePoint now);
    // Records that the end was acknowledged. A task acknowledged as done must not run again, nor
    // have begun again since that end, unless the runner's lease lapsed between the two.
    void acknowledge(const jobs::RunEnd &end, bool hasLapsed);

    const std::vector<RecordedRun> &runs() const { return m_runs; }
    std::vector<RecordedRun> runsOf(std::string_view job) const;
    // Number of the task's runs that have failed.
    std::size_t failedRuns(const jobs::TaskName &task) const;
    // Descriptions of the violations, in the order in which they were found.
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    std::vector<RecordedRun> m_runs;
    std::set<jobs::TaskName> m_done; // Tasks whose end as done was acknowledged.
    std::vector<std::string> m_violations;
};

} // namespace sequoiapier
