// A step costs one read and at most one commit. A lost answer to the commit of a step needs no
// handling: the next step reads the row again and continues from there. Only an operator's change
// has to be answered, so its outcome is looked up by its write identifier.
#include "controller/hostmover.h"

#include <utility>

namespace sequoiapier {

HostMover::HostMover(Table table, Hooks hooks, Options options)
    : m_table(std::move(table))
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_writeIds(m_options.process, m_options.incarnation, "host")
{ }

bool HostMover::advance(std::string_view host, TimePoint now, std::int64_t wallSeconds)
{
    if (m_inFlight.size() >= m_options.maxInFlight || m_inFlight.contains(host))
        return false;
    const std::string name(host);
    m_inFlight.insert(name);
    const TimePoint deadline = now + m_options.tableTimeout;
    readHost(host, deadline, [=, this](const Result<HostRow> &row, std::uint64_t version) {
        if (row)
            takeStep(row.value(), version, deadline, wallSeconds);
        else
            m_inFlight.erase(name);
    });
    return true;
}

void HostMover::takeStep(const HostRow &row, std::uint64_t version, TimePoint deadline,
                         std::int64_t wallSeconds)
{
    const HostStep step = nextHostStep(row, m_hooks.observe(row), wallSeconds);
    if (step.action == HostAction::ChangeRow) {
        commitRow(step.row, version, m_writeIds.next(), deadline,
                  [this, host = row.host](const Result<HostRow> &) { m_inFlight.erase(host); });
        return;
    }
    m_inFlight.erase(row.host);
    if (step.action == HostAction::Drain)
        m_hooks.drain(row);
    else if (step.action == HostAction::Maintain)
        m_hooks.maintain(row);
    else if (step.action == HostAction::Admit)
        m_hooks.admit(row);
}

void HostMover::beginMove(std::string_view host, std::string_view targetPool,
                          std::string_view operationId, TimePoint now, std::int64_t drainDeadline,
                          const ChangeCallback &done)
{
    const TimePoint deadline = now + m_options.tableTimeout;
    const std::string writeId = "move/" + std::string(operationId);
    const std::string target(targetPool);
    const std::string operation(operationId);
    readHost(host, deadline, [=, this](const Result<HostRow> &row, std::uint64_t version) {
        if (!row) {
            done(row.error());
            return;
        }
        const Result<HostRow> next
            = sequoiapier::beginMove(row.value(), target, operation, drainDeadline);
        if (next)
            commitRow(next.value(), version, writeId, deadline, done);
        else
            resolve(row.value(), writeId, deadline, next.error().code, done);
    });
}

void HostMover::undo(std::string_view host, TimePoint now, const ChangeCallback &done)
{
    const TimePoint deadline = now + m_options.tableTimeout;
    readHost(host, deadline, [=, this](const Result<HostRow> &row, std::uint64_t version) {
        const Result<HostRow> next = row ? undoDrain(row.value()) : row;
        if (next)
            commitRow(next.value(), version, m_writeIds.next(), deadline, done);
        else
            done(next.error());
    });
}

void HostMover::readHost(std::string_view host, TimePoint deadline, const RowCallback &done)
{
    const std::string key = hostKey(host);
    m_table.read(key, deadline, [key, done](const Result<std::optional<TableRow>> &answer) {
        if (!answer)
            done(answer.error(), 0);
        else if (!answer.value())
            done(Error{ResultCode::NotFound, key + " does not exist"}, 0);
        else
            done(parseHostRow(answer.value()->value), answer.value()->version);
    });
}

void HostMover::commitRow(const HostRow &next, std::uint64_t version, const std::string &writeId,
                          TimePoint deadline, const ChangeCallback &done)
{
    Commit commit{.writeId = writeId};
    commit.writes.push_back(
        {.key = hostKey(next.host), .value = toJson(next), .baseVersion = version});
    m_table.commit(std::move(commit), deadline, [=, this](const CommitAnswer &answer) {
        switch (answer.outcome) {
        case CommitOutcome::Committed:
            m_hooks.changed(next);
            done(next);
            return;
        case CommitOutcome::NotCommitted:
            done(Error{ResultCode::NotCommitted, "the table refused the change"});
            return;
        case CommitOutcome::Conflict:
            resolve(next, writeId, deadline + m_options.tableTimeout, ResultCode::Conflict, done);
            return;
        case CommitOutcome::Unknown:
            resolve(next, writeId, deadline + m_options.tableTimeout, ResultCode::CommitUnknown,
                    done);
            return;
        }
    });
}

void HostMover::resolve(const HostRow &next, const std::string &writeId, TimePoint deadline,
                        ResultCode codeWithoutRecord, const ChangeCallback &done)
{
    m_table.read(writeRecordKey(writeId), deadline,
                 [=](const Result<std::optional<TableRow>> &record) {
                     if (!record)
                         done(Error{ResultCode::CommitUnknown, record.error().detail});
                     else if (record.value())
                         done(next);
                     else
                         done(Error{codeWithoutRecord, "no record of this change of " + next.host});
                 });
}

} // namespace sequoiapier
