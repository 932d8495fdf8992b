// A waiting job ends in the cancelling commit itself. A placed job becomes stopping: the pool's
// ticks command the stop, and end the job when a report shows the end of its run.
#include "controller/jobcancellation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int MaxRounds = 5;

bool isStopping(const JobRow &row)
{
    return row.state == JobState::Stopping;
}

void addWrites(const LiveJob &job, std::vector<RowWrite> &writes)
{
    JobRow after = job.row;
    RowWrite live{.key = liveJobKey(job.row), .baseVersion = job.version};
    if (after.isPlaced()) {
        after.state = JobState::Stopping;
        live.value = toJson(after);
    } else {
        after.state = JobState::Cancelled;
        after.code = ResultCode::JobCancelled;
        after.detail = "cancelled before it was placed";
        writes.push_back({.key = endedJobKey(after.team, after.id), .value = toJson(after)});
    }
    writes.push_back(std::move(live));
}

JobOutcome cancelled(const JobRow &before)
{
    return {ResultCode::Committed, before.isPlaced() ? "stopping" : "cancelled"};
}

} // namespace

void JobCancellation::run(const JobSubmission::Hooks &hooks, std::string team, std::string pool,
                          std::vector<std::string> ids, JobSubmission::Answer answer)
{
    std::make_shared<JobCancellation>(hooks, std::move(team), std::move(pool), std::move(ids),
                                      std::move(answer))
        ->scan();
}

JobCancellation::JobCancellation(const JobSubmission::Hooks &hooks, std::string team,
                                 std::string pool, std::vector<std::string> ids,
                                 JobSubmission::Answer answer)
    : m_hooks(hooks)
    , m_team(std::move(team))
    , m_pool(std::move(pool))
    , m_ids(std::move(ids))
    , m_answer(std::move(answer))
{ }

void JobCancellation::scan()
{
    if (++m_rounds > MaxRounds) {
        failUnresolved();
        return;
    }
    m_hooks.table.scan(livePrefix(), deadline(),
                       [self = shared_from_this()](const Result<std::vector<TableRow>> &rows) {
                           if (rows)
                               self->onScan(rows.value());
                           else
                               self->failUnresolved();
                       });
}

void JobCancellation::onScan(const std::vector<TableRow> &rows)
{
    m_live.clear();
    m_missing.clear();
    m_nextLive = 0;
    m_nextMissing = 0;
    m_needsRescan = false;
    std::set<std::string> unresolved;
    for (const std::string &id : m_ids) {
        if (!m_outcomes.contains(id))
            unresolved.insert(id);
    }
    const std::size_t prefixLength = livePrefix().size();
    for (const TableRow &row : rows) {
        if (unresolved.erase(row.key.substr(prefixLength)) != 0)
            m_live.push_back(row);
    }
    m_missing.assign(unresolved.begin(), unresolved.end());
    commitNext();
}

void JobCancellation::commitNext()
{
    if (m_nextLive == m_live.size()) {
        readNextMissing();
        return;
    }
    std::vector<LiveJob> batch = takeBatch();
    if (batch.empty()) {
        m_hooks.later([self = shared_from_this()] { self->commitNext(); });
        return;
    }
    std::vector<RowWrite> writes;
    for (const LiveJob &job : batch)
        addWrites(job, writes);
    m_hooks.table.commit(
        {.writeId = m_hooks.writeId(), .writes = std::move(writes)}, deadline(),
        [self = shared_from_this(), batch = std::move(batch)](const CommitAnswer &answer) {
            if (answer.outcome == CommitOutcome::Committed) {
                for (const LiveJob &job : batch)
                    self->m_outcomes[job.row.id] = cancelled(job.row);
            } else {
                self->m_needsRescan = true;
                self->m_isWriteLost |= answer.outcome == CommitOutcome::Unknown;
            }
            self->commitNext();
        });
}

// Returns the jobs among the next RowsPerCommit rows that need a write, and records the outcomes of
// the others.
std::vector<LiveJob> JobCancellation::takeBatch()
{
    std::vector<LiveJob> batch;
    const std::size_t last = std::min(m_nextLive + RowsPerCommit, m_live.size());
    for (; m_nextLive < last; ++m_nextLive) {
        const TableRow &row = m_live[m_nextLive];
        Result<JobRow> job = parseJobRow(row.value);
        if (!job) {
            m_outcomes[row.key.substr(livePrefix().size())]
                = {job.error().code, job.error().detail};
        } else if (isStopping(job.value())) {
            m_outcomes[job.value().id] = cancelled(job.value());
        } else {
            batch.push_back({std::move(job.value()), row.version});
        }
    }
    return batch;
}

void JobCancellation::readNextMissing()
{
    if (m_nextMissing == m_missing.size()) {
        finish();
        return;
    }
    m_hooks.table.read(endedJobKey(m_team, m_missing[m_nextMissing]), deadline(),
                       [self = shared_from_this()](const Result<std::optional<TableRow>> &row) {
                           if (!row)
                               self->failUnresolved();
                           else if (row.value())
                               self->onEnded(*row.value());
                           else
                               self->readRecord();
                       });
}

void JobCancellation::onEnded(const TableRow &row)
{
    const Result<JobRow> job = parseJobRow(row.value);
    if (!job)
        addOutcome({job.error().code, job.error().detail});
    else if (job.value().pool != m_pool)
        addOutcome({ResultCode::NotFound, "the team has no such job in pool " + m_pool});
    else if (job.value().state == JobState::Cancelled)
        addOutcome({ResultCode::Committed, "cancelled"});
    else
        addOutcome({ResultCode::Conflict, "ended: " + std::string(toString(job.value().state))});
}

// Called for a job without a live or ended row. If it has a record in this pool, it was submitted
// or ended between the reads, and another scan is needed.
void JobCancellation::readRecord()
{
    m_hooks.table.read(
        jobRecordKey(m_team, m_missing[m_nextMissing]), deadline(),
        [self = shared_from_this()](const Result<std::optional<TableRow>> &row) {
            if (!row) {
                self->failUnresolved();
                return;
            }
            const Result<JobRow> job
                = row.value() ? parseJobRow(row.value()->value) : Error{ResultCode::NotFound, ""};
            if (!job || job.value().pool != self->m_pool) {
                self->addOutcome(
                    {ResultCode::NotFound, "the team has no such job in pool " + self->m_pool});
                return;
            }
            self->m_needsRescan = true;
            ++self->m_nextMissing;
            self->readNextMissing();
        });
}

void JobCancellation::addOutcome(JobOutcome outcome)
{
    m_outcomes[m_missing[m_nextMissing++]] = std::move(outcome);
    readNextMissing();
}

void JobCancellation::finish()
{
    if (m_needsRescan) {
        scan();
        return;
    }
    std::vector<JobOutcome> outcomes;
    outcomes.reserve(m_ids.size());
    for (const std::string &id : m_ids)
        outcomes.push_back(m_outcomes[id]);
    m_answer(outcomes);
}

void JobCancellation::failUnresolved()
{
    const JobOutcome outcome = m_isWriteLost
        ? JobOutcome{ResultCode::CommitUnknown, "an answer was lost; ask again"}
        : JobOutcome{ResultCode::NotCommitted, "this call cancelled nothing more; ask again"};
    for (const std::string &id : m_ids)
        m_outcomes.try_emplace(id, outcome);
    m_needsRescan = false;
    finish();
}

} // namespace sequoiapier
