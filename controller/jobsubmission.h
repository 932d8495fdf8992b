// JobSubmission: carries submitted jobs to the table and answers truthfully for each.
//
//   JobSubmission::run(hooks, rows, isNewId, [](const std::vector<JobOutcome> &outcomes) { ... });
//
// Outcomes: Committed; Conflict, if the identifier is that of another job; NotCommitted;
// CommitUnknown; CapacityExceeded for a pool that its turns marked as full. A repeat of a job finds
// its record and is Committed. Table use: a read for each pool and one commit for all jobs; after a
// conflict or a lost answer, and with a full pool, a read and at most a commit for each job.
#pragma once

#include "controller/jobrow.h"
#include "sequoiapier/table.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct JobOutcome
{
    ResultCode code = ResultCode::CommitUnknown;
    std::string detail;
};

class JobSubmission : public std::enable_shared_from_this<JobSubmission>
{
public:
    struct Hooks
    {
        Table table;
        std::function<TimePoint()> now;
        std::function<std::string()> writeId; // a new one for each commit
        // Runs a step in a later turn of the loop, so that a long change does not hold it up.
        std::function<void(std::function<void()> step)> later;
        Duration tableTimeout = std::chrono::seconds(2); // of one table call
    };
    using Answer = std::function<void(const std::vector<JobOutcome> &)>;

    // `hooks` must outlive the call. `isNewId`: no identifier was used before.
    static void run(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId, Answer answer);

    JobSubmission(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId, Answer answer);

private:
    void readNextFullMarker();
    void commitAll();
    void resolveNext();
    void readRecord();
    void commitOne();
    void settle(JobOutcome outcome);
    JobOutcome unreachable(bool maybeWritten) const;
    void commit(std::vector<RowWrite> writes, std::function<void(CommitOutcome)> done);
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }

    const Hooks &m_hooks;
    std::vector<JobRow> m_rows;
    bool m_isNewId;
    Answer m_answer;
    std::vector<std::string> m_poolsToRead; // whose mark is not read yet
    std::set<std::string> m_fullPools;
    std::vector<JobOutcome> m_outcomes; // of the first jobs
    int m_attempts = 0; // of the job that is being resolved
    bool m_isWriteLost = false; // an answer to a commit was lost
};

} // namespace sequoiapier
