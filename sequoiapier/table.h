// Table: interface of the library to the platform's transactional table. The embedder provides the
// functions; tests provide an in-memory fake.
//
//   table.read("config", deadline, [](Result<std::optional<TableRow>> row) { ... });
//   table.commit({.writeId = "host-3/17", .writes = {...}}, deadline, [](CommitAnswer a) { ... });
//
// A commit is atomic and compares the version of every row that it writes. CommitOutcome::Unknown
// means that the answer was lost: the caller has to read back the row `writes/<writeId>`, which the
// same transaction writes, before it may write again.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; // set by the table; grows with every write of the row
};

struct RowWrite
{
    std::string key;
    std::optional<std::string> value; // nullopt removes the row
    std::uint64_t baseVersion = 0; // 0: the row must not exist
};

struct Commit
{
    std::string writeId; // unique among all processes and restarts
    std::vector<RowWrite> writes;
};

enum class CommitOutcome : std::uint8_t {
    Committed, // all rows are written
    Conflict, // a base version differed; nothing was written
    NotCommitted, // the commit failed otherwise; nothing was written
    Unknown, // the answer was lost; the rows may be written
};

struct CommitAnswer
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::vector<std::uint64_t> versions; // new versions in the order of the writes, if committed
};

struct Table
{
    using ReadCallback = std::function<void(Result<std::optional<TableRow>>)>;
    using ScanCallback = std::function<void(Result<std::vector<TableRow>>)>;
    using CommitCallback = std::function<void(CommitAnswer)>;

    std::function<void(std::string_view key, TimePoint deadline, ReadCallback)> read;
    std::function<void(std::string_view prefix, TimePoint deadline, ScanCallback)> scan;
    std::function<void(Commit, TimePoint deadline, CommitCallback)> commit;
};

// Key of the row that exists once the commit with `writeId` has taken effect.
std::string writeRecordKey(std::string_view writeId);

} // namespace sequoiapier
