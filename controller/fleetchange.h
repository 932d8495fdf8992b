// FleetChange: commits one operator's change of hosts or waves to the table and reports whether it
// took effect.
//
//   FleetChange::run(hooks, {.operationId = id, .plan = {.keys = {...}, .build = ...}},
//                    [](const ChangeOutcome &outcome) { ... });
//
// The outcome is Committed, NotCommitted, CommitUnknown or the error returned by build().
// A repeated identifier gets the recorded outcome. A change that loses a race is rebuilt from newly
// read rows and refused with Conflict after MaxAttempts. Cost: one table read for the operation
// record, one read for each key and one write; a lost answer costs one more write and one more
// read.
#pragma once

#include "controller/operationrecord.h"
#include "controller/operatorchange.h"

#include <map>

namespace sequoiapier {

// Rows by key; nullopt if the row does not exist.
using KeyedRows = std::map<std::string, std::optional<TableRow>, std::less<>>;

// The keys that a change reads and the values that it writes, by key. FleetChange adds the base
// versions from the rows that it read.
struct FleetEditPlan
{
    std::vector<std::string> keys;
    // Returns more keys to read, computed from the rows of `keys`. May be an empty function.
    std::function<std::vector<std::string>(const KeyedRows &)> dependentKeys;
    std::function<Result<std::map<std::string, std::string>>(const KeyedRows &)> build;
};

struct FleetChangeSpec
{
    std::string operationId;
    bool isNewId = false; // the caller guarantees that the identifier was never used before
    FleetEditPlan plan;
};

class FleetChange : public std::enable_shared_from_this<FleetChange>
{
public:
    struct Hooks
    {
        Table table;
        std::function<TimePoint()> now;
        Duration tableTimeout = std::chrono::seconds(2); // timeout of one table call
    };
    using Answer = std::function<void(const ChangeOutcome &)>;

    static constexpr int MaxAttempts = 5;

    // `hooks` must outlive the change.
    static void run(const Hooks &hooks, FleetChangeSpec spec, Answer answer);

    FleetChange(const Hooks &hooks, FleetChangeSpec spec, Answer answer);

private:
    void readRecord();
    void onRecord(const std::optional<TableRow> &row);
    void readRows();
    void readKeys(const std::vector<std::string> &keys);
    void readDependentRows();
    void onRow(const std::string &key, const Result<std::optional<TableRow>> &row);
    void buildAndCommit();
    void onCommit(const CommitAnswer &result);
    void refuse(const Error &error);
    TimePoint deadline() const { return m_hooks.now() + m_hooks.tableTimeout; }
    void fail(const std::string &detail);
    void answer(ResultCode code, std::string detail);

    const Hooks &m_hooks;
    FleetChangeSpec m_spec;
    Answer m_answer;
    KeyedRows m_rows;
    std::size_t m_pendingReads = 0;
    bool m_isReadingDependentRows = false;
    int m_attempts = 0;
    bool m_isWriteSent = false;
};

} // namespace sequoiapier
