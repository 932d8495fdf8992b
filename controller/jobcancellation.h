// JobCancellation: cancels a team's jobs in one pool and reports the outcome of each.
//
//   JobCancellation::run(hooks, "pricing", "batch", ids, [](const auto &outcomes) { ... });
//
// Outcomes: Committed, with "cancelled" or, for a placed job, "stopping"; Conflict for a job that
// ended in another way; NotFound; NotCommitted; CommitUnknown. A repeated call gets the same
// outcomes.
//
// Table use: one scan of the team's live jobs in the pool and one commit for every RowsPerCommit
// jobs; after a conflict or a lost answer the scan is repeated. A job that is not live costs one or
// two reads. One iteration of the event loop decodes at most RowsPerCommit rows.
#pragma once

#include "controller/jobsubmission.h"

#include <map>

namespace sequoiapier {

class JobCancellation : public std::enable_shared_from_this<JobCancellation>
{
public:
    static constexpr std::size_t RowsPerCommit = 128;

    // `hooks` must outlive the call.
    static void run(const JobSubmission::Hooks &hooks, std::string team, std::string pool,
                    std::vector<std::string> ids, JobSubmission::Answer answer);

    JobCancellation(const JobSubmission::Hooks &hooks, std::string team, std::string pool,
                    std::vector<std::string> ids, JobSubmission::Answer answer);

private:
    void scan();
    void onScan(const std::vector<TableRow> &rows);
    void commitNext();
    std::vector<LiveJob> takeBatch();
    void readNextMissing();
    void readRecord();
    void onEnded(const TableRow &row);
    void addOutcome(JobOutcome outcome);
    void failUnresolved();
    void finish();
    std::string livePrefix() const { return liveJobPrefix(m_pool) + m_team + "/"; }
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }

    const JobSubmission::Hooks &m_hooks;
    std::string m_team;
    std::string m_pool;
    std::vector<std::string> m_ids;
    JobSubmission::Answer m_answer;
    std::map<std::string, JobOutcome, std::less<>> m_outcomes; // Final outcomes by job id.
    std::vector<TableRow> m_live; // Live rows of the jobs to cancel.
    std::size_t m_nextLive = 0;
    std::vector<std::string> m_missing; // Ids of the jobs without a live row.
    std::size_t m_nextMissing = 0;
    bool m_needsRescan = false; // A commit of this round did not take effect, or a
                                // job was submitted or ended during the scan.
    bool m_isWriteLost = false; // The answer to a commit was lost.
    int m_rounds = 0;
};

} // namespace sequoiapier
