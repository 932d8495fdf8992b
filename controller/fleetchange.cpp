// Steps: read the operation record; read the rows; build the new values; commit them together with
// the record. The record row can be created only once, so at most one attempt under an identifier
// takes effect, on whichever controller and however late it arrives.
//
// Refusals are recorded too, so that an attempt of another controller whose write is still in
// flight can't take effect after the operator was told of the refusal. After a lost answer,
// a refusal is written to the same record row; if that write conflicts, the record holds the actual
// outcome.
#include "controller/fleetchange.h"

#include <utility>

namespace sequoiapier {

void FleetChange::run(const Hooks &hooks, FleetChangeSpec spec, Answer answer)
{
    const auto change = std::make_shared<FleetChange>(hooks, std::move(spec), std::move(answer));
    change->readRecord();
}

FleetChange::FleetChange(const Hooks &hooks, FleetChangeSpec spec, Answer answer)
    : m_hooks(hooks)
    , m_spec(std::move(spec))
    , m_answer(std::move(answer))
{ }

void FleetChange::readRecord()
{
    if (++m_attempts > MaxAttempts) {
        fail("other changes came in between");
        return;
    }
    m_hooks.table.read(operationKey(m_spec.operationId), deadline(),
                       [self = shared_from_this()](const Result<std::optional<TableRow>> &row) {
                           if (row)
                               self->onRecord(row.value());
                           else
                               self->fail("the table can't be read: " + row.error().detail);
                       });
}

void FleetChange::onRecord(const std::optional<TableRow> &row)
{
    if (!row) {
        readRows();
        return;
    }
    const Result<OperationRecord> record = parseOperationRecord(row->value);
    if (!record)
        answer(ResultCode::CommitUnknown, record.error().detail);
    else
        answer(record.value().code, record.value().detail);
}

void FleetChange::readRows()
{
    if (m_attempts == MaxAttempts) {
        refuse({ResultCode::Conflict, "other changes came in between"});
        return;
    }
    m_rows.clear();
    m_isReadingDependentRows = false;
    readKeys(m_spec.plan.keys);
}

void FleetChange::readDependentRows()
{
    m_isReadingDependentRows = true;
    const std::vector<std::string> keys = m_spec.plan.dependentKeys
        ? m_spec.plan.dependentKeys(m_rows)
        : std::vector<std::string>();
    if (keys.empty())
        buildAndCommit();
    else
        readKeys(keys);
}

void FleetChange::readKeys(const std::vector<std::string> &keys)
{
    m_pendingReads = keys.size();
    for (const std::string &key : keys) {
        m_hooks.table.read(
            key, deadline(),
            [self = shared_from_this(), key](const Result<std::optional<TableRow>> &row) {
                self->onRow(key, row);
            });
    }
}

void FleetChange::onRow(const std::string &key, const Result<std::optional<TableRow>> &row)
{
    if (!row) {
        fail("the table can't be read: " + row.error().detail);
        return;
    }
    m_rows[key] = row.value();
    if (--m_pendingReads > 0)
        return;
    if (m_isReadingDependentRows)
        buildAndCommit();
    else
        readDependentRows();
}

void FleetChange::buildAndCommit()
{
    const auto values = m_spec.plan.build(m_rows);
    if (!values) {
        refuse(values.error());
        return;
    }
    Commit commit = recordCommit(m_spec.operationId, {.code = ResultCode::Committed});
    for (const auto &[key, value] : values.value()) {
        const std::optional<TableRow> &read = m_rows[key];
        commit.writes.push_back(
            {.key = key, .value = value, .baseVersion = read ? read->version : 0});
    }
    m_isWriteSent = true;
    m_hooks.table.commit(
        std::move(commit), deadline(),
        [self = shared_from_this()](const CommitAnswer &result) { self->onCommit(result); });
}

void FleetChange::onCommit(const CommitAnswer &result)
{
    switch (result.outcome) {
    case CommitOutcome::Committed:
        answer(ResultCode::Committed, "");
        return;
    case CommitOutcome::Conflict:
        // The rows were changed by another operation or by an earlier attempt of this one.
        m_isWriteSent = false;
        readRecord();
        return;
    case CommitOutcome::NotCommitted:
        m_isWriteSent = false;
        fail("the table is unavailable");
        return;
    case CommitOutcome::Unknown:
        refuse({ResultCode::NotCommitted, "the table did not answer; it was not written"});
        return;
    }
}

void FleetChange::refuse(const Error &error)
{
    m_hooks.table.commit(
        recordCommit(m_spec.operationId, {.code = error.code, .detail = error.detail}), deadline(),
        [self = shared_from_this(), error](const CommitAnswer &result) {
            if (result.outcome == CommitOutcome::Committed)
                self->answer(error.code, error.detail);
            else if (result.outcome == CommitOutcome::Conflict)
                self->readRecord();
            else
                self->fail("the table did not answer");
        });
}

void FleetChange::fail(const std::string &detail)
{
    if (m_spec.isNewId && !m_isWriteSent)
        answer(ResultCode::NotCommitted, detail);
    else
        answer(ResultCode::CommitUnknown, detail);
}

void FleetChange::answer(ResultCode code, std::string detail)
{
    if (m_answer)
        std::exchange(m_answer, nullptr)({code, std::move(detail), 0});
}

} // namespace sequoiapier
