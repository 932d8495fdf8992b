// JobCancellation: cancels a team's jobs of one pool and answers truthfully for each.
//
//   JobCancellation::run(hooks, "pricing", "batch", ids, [](const auto &outcomes) { ... });
//
// Outcomes: Committed, with "cancelled" or, for a job that is placed, "stopping"; Conflict for one
// that ended otherwise; NotFound; NotCommitted; CommitUnknown. A repeat finds the same. Table use:
// one scan of the pool and a commit for every RowsPerCommit jobs; after a conflict or a lost answer
// the scan is repeated. A job that is not live costs one read or two. A turn of the loop decodes
// RowsPerCommit rows at most.
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
    void settle(JobOutcome outcome);
    void failUnresolved();
    void finish();
    std::string livePrefix() const { return liveJobPrefix(m_pool) + m_team + "/"; }
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }

    const JobSubmission::Hooks &m_hooks;
    std::string m_team;
    std::string m_pool;
    std::vector<std::string> m_ids;
    JobSubmission::Answer m_answer;
    std::map<std::string, JobOutcome, std::less<>> m_outcomes; // by id, those that are settled
    std::vector<TableRow> m_live; // of the jobs to be cancelled
    std::size_t m_nextLive = 0;
    std::vector<std::string> m_missing; // not live
    std::size_t m_nextMissing = 0;
    bool m_needsRescan = false; // some commit of this round did not take effect
    bool m_isWriteLost = false;
    int m_rounds = 0;
};

} // namespace sequoiapier
