#include "testing/standin/runledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiapier {

void RunLedger::begin(RecordedRun run)
{
    const std::string name = toString(run.task);
    for (const RecordedRun &other : m_runs) {
        if (other.task == run.task && !other.end)
            m_violations.push_back(name + " runs on " + other.runner + " and " + run.runner);
    }
    if (m_done.contains(run.task))
        m_violations.push_back(name + " began after its end as done was acknowledged");
    m_runs.push_back(std::move(run));
}

void RunLedger::end(const jobs::TaskName &task, std::uint64_t run, std::string_view how,
                    TimePoint now)
{
    for (RecordedRun &recorded : m_runs) {
        if (recorded.task == task && recorded.run == run && !recorded.end) {
            recorded.end = now;
            recorded.outcome = how;
        }
    }
}

void RunLedger::acknowledge(const jobs::RunEnd &end, bool hasLapsed)
{
    if (end.kind != jobs::EndKind::Done || !m_done.insert(end.task).second || hasLapsed)
        return;
    const auto isDoneRun = [&](const RecordedRun &run) {
        return run.task == end.task && run.run == end.run && run.end;
    };
    const auto done = std::find_if(m_runs.begin(), m_runs.end(), isDoneRun);
    const bool hasBegunAgain
        = done != m_runs.end() && std::any_of(done, m_runs.end(), [&](const RecordedRun &run) {
              return run.task == end.task && run.begin > *done->end;
          });
    if (hasBegunAgain)
        m_violations.push_back(toString(end.task)
                               + " began between its end as done and the acknowledgement");
}

std::size_t RunLedger::failedRuns(const jobs::TaskName &task) const
{
    return std::size_t(std::count_if(m_runs.begin(), m_runs.end(), [&](const RecordedRun &run) {
        return run.task == task && run.outcome == toString(jobs::EndKind::Failed);
    }));
}

std::vector<RecordedRun> RunLedger::runsOf(std::string_view job) const
{
    std::vector<RecordedRun> runs;
    std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(runs),
                 [&](const RecordedRun &run) { return run.task.job == job; });
    return runs;
}

} // namespace sequoiapier
