// Steps: read the operation's record; read the configuration row; compare the base version; build
// and check the new document; announce withdrawn keys; commit the row and the record together; push
// the version; answer.
//
// After a lost answer, a refusal is written to the same record row. If it commits, the change can
// never take effect, however late its write arrives, and "not committed" is certain. If it
// conflicts, the record holds the outcome.
#include "controller/operatorchange.h"

#include "controller/configurationeditor.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int MaxAttempts = 3;

} // namespace

void OperatorChange::run(const Hooks &hooks, ChangeSpec spec, Answer answer)
{
    const auto change = std::make_shared<OperatorChange>(hooks, std::move(spec), std::move(answer));
    change->readRecord();
}

OperatorChange::OperatorChange(const Hooks &hooks, ChangeSpec spec, Answer answer)
    : m_hooks(hooks)
    , m_spec(std::move(spec))
    , m_answer(std::move(answer))
{ }

void OperatorChange::read(std::string_view key, RowStep next)
{
    m_hooks.table.read(
        key, deadline(),
        [self = shared_from_this(), next](const Result<std::optional<TableRow>> &row) {
            if (row)
                (self.get()->*next)(row.value());
            else
                self->fail("the table can't be read: " + row.error().detail, self->m_isWriteSent);
        });
}

void OperatorChange::readRecord()
{
    if (++m_attempts > MaxAttempts)
        fail("other changes came in between", m_isWriteSent);
    else
        read(operationKey(m_spec.operationId), &OperatorChange::onRecord);
}

void OperatorChange::onRecord(const std::optional<TableRow> &row)
{
    if (!row) {
        read(ConfigurationKey, &OperatorChange::onConfiguration);
        return;
    }
    const Result<OperationRecord> record = parseOperationRecord(row->value);
    if (!record) {
        answer(ResultCode::CommitUnknown, record.error().detail);
        return;
    }
    m_record = record.value();
    if (m_record.code == ResultCode::Committed)
        read(ConfigurationKey, &OperatorChange::onRecordedCommit);
    else
        answer(m_record.code, "the recorded outcome of this operation", m_record.version);
}

// The change is in the table. A gateway that takes the current version takes this change, too.
void OperatorChange::onRecordedCommit(const std::optional<TableRow> &row)
{
    std::uint64_t version = m_record.version;
    if (row && version == 0 && keyDigest(row->value) == m_record.documentDigest)
        version = row->version;
    if (!row) {
        answer(ResultCode::Committed, "committed before", version);
        return;
    }
    const Result<Configuration> current = parseConfiguration(row->value, row->version);
    pushAndAnswer({.version = row->version,
                   .document = row->value,
                   .maxGateways = current ? current.value().maxGateways : 0},
                  version);
}

void OperatorChange::onConfiguration(const std::optional<TableRow> &row)
{
    const std::uint64_t current = row ? row->version : 0;
    if (current != m_spec.baseVersion) {
        recordRefusal(ResultCode::Conflict, current, "the base version is not the current one");
        return;
    }
    std::optional<Configuration> base;
    if (row) {
        Result<Configuration> parsed = parseConfiguration(row->value, row->version);
        if (parsed)
            base = std::move(parsed.value());
    }
    const Result<Configuration> next = m_spec.build(base ? &*base : nullptr);
    if (!next) {
        answer(next.error().code, next.error().detail, current);
        return;
    }
    if (base && m_hooks.announce) {
        const std::vector<std::string> withdrawn = withdrawnDigests(*base, next.value());
        if (!withdrawn.empty())
            m_hooks.announce(withdrawn);
    }
    commit(next.value(), base ? base->maxGateways : 0);
}

void OperatorChange::commit(const Configuration &next, std::size_t oldMaxGateways)
{
    m_committed.document = toJson(next);
    m_committed.maxGateways = std::max(oldMaxGateways, std::size_t(next.maxGateways));
    m_record = {.code = ResultCode::Committed,
                .baseVersion = m_spec.baseVersion,
                .documentDigest = keyDigest(m_committed.document)};
    Commit commit = recordCommit(m_spec.operationId, m_record);
    commit.writes.insert(commit.writes.begin(),
                         {.key = std::string(ConfigurationKey),
                          .value = m_committed.document,
                          .baseVersion = m_spec.baseVersion});
    m_isWriteSent = true;
    m_hooks.table.commit(
        std::move(commit), deadline(),
        [self = shared_from_this()](const CommitAnswer &result) { self->onCommit(result); });
}

void OperatorChange::onCommit(const CommitAnswer &result)
{
    switch (result.outcome) {
    case CommitOutcome::Committed:
        m_committed.version = result.versions.at(0);
        recordVersion(result.versions.at(1));
        pushAndAnswer(m_committed, m_committed.version);
        return;
    case CommitOutcome::Conflict:
        // Caused by another change, or by an earlier attempt of this one.
        readRecord();
        return;
    case CommitOutcome::NotCommitted:
        fail("the table is unavailable", false);
        return;
    case CommitOutcome::Unknown:
        recordRefusal(ResultCode::NotCommitted, 0, "the table did not answer; it was not written");
        return;
    }
}

// Adds the version to the record. Best effort: if the write fails, the version can still be
// determined while it is the current one.
void OperatorChange::recordVersion(std::uint64_t recordRowVersion)
{
    m_record.version = m_committed.version;
    Commit commit = recordCommit(m_spec.operationId, m_record);
    commit.writeId += "/version";
    commit.writes.front().baseVersion = recordRowVersion;
    m_hooks.table.commit(std::move(commit), deadline(), [](const CommitAnswer &) {});
}

void OperatorChange::pushAndAnswer(const CommittedVersion &committed, std::uint64_t version)
{
    const auto onPushed = [self = shared_from_this(), version](bool isSettled) {
        if (isSettled) {
            self->answer(ResultCode::Committed, "", version);
            return;
        }
        self->answer(ResultCode::CommitUnknown,
                     "it is in the table, but fewer than half of the gateways have taken it yet",
                     version);
    };
    if (m_hooks.push)
        m_hooks.push(committed, onPushed);
    else
        onPushed(committed.maxGateways == 0);
}

void OperatorChange::recordRefusal(ResultCode code, std::uint64_t version,
                                   const std::string &detail)
{
    const OperationRecord record{
        .code = code, .baseVersion = m_spec.baseVersion, .version = version};
    m_hooks.table.commit(
        recordCommit(m_spec.operationId, record), deadline(),
        [self = shared_from_this(), code, version, detail](const CommitAnswer &result) {
            if (result.outcome == CommitOutcome::Committed)
                self->answer(code, detail, version);
            else if (result.outcome == CommitOutcome::Conflict)
                self->readRecord();
            else
                self->fail("the table did not answer", self->m_isWriteSent);
        });
}

void OperatorChange::fail(const std::string &detail, bool isWriteSent)
{
    if (m_spec.isNewId && !isWriteSent)
        answer(ResultCode::NotCommitted, detail);
    else
        answer(ResultCode::CommitUnknown, detail);
}

void OperatorChange::answer(ResultCode code, std::string detail, std::uint64_t version)
{
    if (m_answer)
        std::exchange(m_answer, nullptr)({code, std::move(detail), version});
}

} // namespace sequoiapier
