// A commit creates the record and the live row of each job. The record makes it safe to write again
// after a lost answer: of all writes of one job, however late they arrive, only one takes effect.
#include "controller/jobsubmission.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr int MaxAttempts = 3;

std::vector<RowWrite> writesOf(const JobRow &row)
{
    const std::string text = toJson(row);
    return {{.key = jobRecordKey(row.team, row.id), .value = text},
            {.key = liveJobKey(row), .value = text}};
}

} // namespace

void JobSubmission::run(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId, Answer answer)
{
    if (rows.empty()) {
        answer({});
        return;
    }
    std::make_shared<JobSubmission>(hooks, std::move(rows), isNewId, std::move(answer))
        ->readNextFullMarker();
}

JobSubmission::JobSubmission(const Hooks &hooks, std::vector<JobRow> rows, bool isNewId,
                             Answer answer)
    : m_hooks(hooks)
    , m_rows(std::move(rows))
    , m_isNewId(isNewId)
    , m_answer(std::move(answer))
{
    std::set<std::string> pools;
    for (const JobRow &row : m_rows)
        pools.insert(row.pool);
    m_poolsToRead.assign(pools.begin(), pools.end());
}

void JobSubmission::readNextFullMarker()
{
    if (m_poolsToRead.empty()) {
        if (m_fullPools.empty())
            commitAll();
        else
            resolveNext();
        return;
    }
    m_hooks.table.read(fullPoolKey(m_poolsToRead.back()), deadline(),
                       [self = shared_from_this()](const Result<std::optional<TableRow>> &mark) {
                           if (!mark) {
                               self->m_answer(std::vector<JobOutcome>(
                                   self->m_rows.size(), self->unreachable(!self->m_isNewId)));
                               return;
                           }
                           if (mark.value())
                               self->m_fullPools.insert(self->m_poolsToRead.back());
                           self->m_poolsToRead.pop_back();
                           self->readNextFullMarker();
                       });
}

void JobSubmission::commit(std::vector<RowWrite> writes, std::function<void(CommitOutcome)> done)
{
    m_hooks.table.commit(
        {.writeId = m_hooks.writeId(), .writes = std::move(writes)}, deadline(),
        [self = shared_from_this(), done = std::move(done)](const CommitAnswer &answer) {
            if (answer.outcome == CommitOutcome::Unknown)
                self->m_isWriteLost = true;
            done(answer.outcome);
        });
}

void JobSubmission::commitAll()
{
    std::vector<RowWrite> writes;
    for (const JobRow &row : m_rows) {
        for (RowWrite &write : writesOf(row))
            writes.push_back(std::move(write));
    }
    commit(std::move(writes), [this](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Conflict || outcome == CommitOutcome::Unknown) {
            resolveNext();
            return;
        }
        const bool isCommitted = outcome == CommitOutcome::Committed;
        m_answer(std::vector<JobOutcome>(m_rows.size(),
                                         isCommitted ? JobOutcome{ResultCode::Committed, ""}
                                                     : unreachable(!m_isNewId)));
    });
}

void JobSubmission::resolveNext()
{
    m_attempts = 0;
    if (m_outcomes.size() == m_rows.size())
        m_answer(m_outcomes);
    else
        readRecord();
}

void JobSubmission::readRecord()
{
    if (++m_attempts > MaxAttempts) {
        addOutcome(unreachable(true));
        return;
    }
    const JobRow &row = m_rows[m_outcomes.size()];
    m_hooks.table.read(
        jobRecordKey(row.team, row.id), deadline(),
        [self = shared_from_this()](const Result<std::optional<TableRow>> &record) {
            const JobRow &row = self->m_rows[self->m_outcomes.size()];
            if (!record)
                self->addOutcome(self->unreachable(self->m_isWriteLost || !self->m_isNewId));
            else if (!record.value())
                self->commitOne();
            else if (record.value()->value == toJson(row))
                self->addOutcome({ResultCode::Committed, ""});
            else
                self->addOutcome({ResultCode::Conflict, "the identifier is that of another job"});
        });
}

void JobSubmission::commitOne()
{
    if (m_fullPools.contains(m_rows[m_outcomes.size()].pool)) {
        addOutcome(
            {ResultCode::CapacityExceeded, "the pool has too many jobs; nothing was written"});
        return;
    }
    commit(writesOf(m_rows[m_outcomes.size()]), [this](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed)
            addOutcome({ResultCode::Committed, ""});
        else if (outcome == CommitOutcome::NotCommitted)
            addOutcome(unreachable(m_isWriteLost || !m_isNewId));
        else
            readRecord();
    });
}

void JobSubmission::addOutcome(JobOutcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
    resolveNext();
}

JobOutcome JobSubmission::unreachable(bool maybeWritten) const
{
    if (maybeWritten)
        return {ResultCode::CommitUnknown, "the table did not answer; submit the same job again"};
    return {ResultCode::NotCommitted, "the table can't be reached"};
}

} // namespace sequoiapier
