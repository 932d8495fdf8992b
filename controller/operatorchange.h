// OperatorChange: writes one operator's change to the table and reports its outcome.
//
//   OperatorChange::run(hooks, {.operationId = id, .baseVersion = 7, .build = ...},
//                       [](const ChangeOutcome &outcome) { ... });
//
// The outcome is Committed, Conflict, NotCommitted or CommitUnknown, or the error of build(), which
// is ChangeInvalid or NotFound. A repeated identifier gets the recorded outcome. Table use: two
// reads and two writes per change; a lost answer costs one write and one or two reads more.
#pragma once

#include "controller/operationrecord.h"
#include "sequoiapier/configuration.h"
#include "sequoiapier/table.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace sequoiapier {

struct ChangeOutcome
{
    ResultCode code = ResultCode::CommitUnknown;
    std::string detail;
    // If committed: version of the change. After a conflict: the current version. 0: not known.
    std::uint64_t version = 0;
};

struct ChangeSpec
{
    std::string operationId;
    std::uint64_t baseVersion = 0;
    bool isNewId = false; // The identifier was certainly never used before.
    // Returns the new configuration. `base` is the current one, or nullptr if there is none or if
    // it can't be parsed.
    std::function<Result<Configuration>(const Configuration *base)> build;
};

// A committed version, which the gateways must take before the operator is answered.
struct CommittedVersion
{
    std::uint64_t version = 0;
    std::string document;
    std::size_t maxGateways = 0; // Bound for PushRound.
};

class OperatorChange : public std::enable_shared_from_this<OperatorChange>
{
public:
    struct Hooks
    {
        Table table;
        std::function<TimePoint()> now;
        // Announces to peers, before the commit, the keys that it will withdraw. May be empty.
        std::function<void(std::span<const std::string> digests)> announce;
        // Pushes the version and calls `done` with whether it is settled (see PushRound). Without
        // the hook, a version is settled if its maxGateways is 0.
        std::function<void(const CommittedVersion &, std::function<void(bool)> done)> push;
        Duration tableTimeout = std::chrono::seconds(2); // Timeout of one table call.
    };
    using Answer = std::function<void(const ChangeOutcome &)>;

    // `hooks` must outlive the change.
    static void run(const Hooks &hooks, ChangeSpec spec, Answer answer);

    OperatorChange(const Hooks &hooks, ChangeSpec spec, Answer answer);

private:
    using RowStep = void (OperatorChange::*)(const std::optional<TableRow> &row);

    void readRecord();
    void onRecord(const std::optional<TableRow> &row);
    void onRecordedCommit(const std::optional<TableRow> &row);
    void onConfiguration(const std::optional<TableRow> &row);
    void commit(const Configuration &next, std::size_t oldMaxGateways);
    void onCommit(const CommitAnswer &answer);
    void recordVersion(std::uint64_t recordRowVersion);
    void pushAndAnswer(const CommittedVersion &committed, std::uint64_t version);
    void recordRefusal(ResultCode code, std::uint64_t version, const std::string &detail);
    void read(std::string_view key, RowStep next);
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }
    void fail(const std::string &detail, bool isWriteSent);
    void answer(ResultCode code, std::string detail, std::uint64_t version = 0);

    const Hooks &m_hooks;
    ChangeSpec m_spec;
    Answer m_answer;
    OperationRecord m_record;
    CommittedVersion m_committed;
    int m_attempts = 0;
    bool m_isWriteSent = false;
};

} // namespace sequoiapier
