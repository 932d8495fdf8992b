// JobSubmission: writes submitted jobs to the table and reports the outcome of each.
//
//   JobSubmission::run(hooks, rows, isNewId, [](const std::vector<JobOutcome> &outcomes) { ... });
//
// Outcomes: Committed; Conflict, if another job has the identifier; NotCommitted; CommitUnknown;
// CapacityExceeded for a pool that a tick marked as full. A repeated job is found by its record and
// is Committed.
//
// Table use: one read per pool and one commit for all jobs. After a conflict or a lost answer, or
// if a pool is full: one read and at most one commit per job and attempt.
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
        std::function<std::string()> writeId; // Returns a new identifier for each commit.
        // Runs a step in a later iteration of the event loop, so that a long change does not block
        // it.
        std::function<void(std::function<void()> step)> later;
        Duration tableTimeout = std::chrono::seconds(2); // Timeout of one table call.
    };
    using Answer = std::function<void(const std::vector<JobOutcome> &)>;

    // `hooks` must outlive the call. `isNewId`: the caller never used any of the identifiers
    // before.
    static void run(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId, Answer answer);

    JobSubmission(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId, Answer answer);

private:
    void readNextFullMarker();
    void commitAll();
    void resolveNext();
    void readRecord();
    void commitOne();
    void addOutcome(JobOutcome outcome);
    JobOutcome unreachable(bool maybeWritten) const;
    void commit(std::vector<RowWrite> writes, std::function<void(CommitOutcome)> done);
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }

    const Hooks &m_hooks;
    std::vector<JobRow> m_rows;
    bool m_isNewId;
    Answer m_answer;
    std::vector<std::string> m_poolsToRead; // Pools whose full marker is not read yet.
    std::set<std::string> m_fullPools;
    std::vector<JobOutcome> m_outcomes; // Outcomes of the first jobs of m_rows.
    int m_attempts = 0; // Attempts for the job that is being resolved.
    bool m_isWriteLost = false; // The answer to a commit was lost.
};

} // namespace sequoiapier
