#include "testing/support/faketable.h"

#include <utility>

namespace sequoiapier {

namespace {

Error unreachableError()
{
    return {ResultCode::TableTimeout, "table unreachable"};
}

} // namespace

bool FakeTable::isReachable(const std::string &caller) const
{
    return !m_isOutage && !m_unreachableCallers.contains(caller);
}

Table FakeTable::hooks(const std::string &caller)
{
    Table table;
    table.read = [this, caller](std::string_view key, TimePoint deadline,
                                const Table::ReadCallback &callback) {
        if (!isReachable(caller)) {
            m_time.at(deadline, [callback] { callback(unreachableError()); });
            return;
        }
        m_time.after(m_latency, [this, callback, key = std::string(key)] {
            ++m_readCount;
            std::vector<TableRow> rows = m_rows.read(key);
            std::optional<TableRow> row;
            if (!rows.empty())
                row = std::move(rows.front());
            callback(std::move(row));
        });
    };
    table.scan = [this, caller](std::string_view prefix, TimePoint deadline,
                                const Table::ScanCallback &callback) {
        if (!isReachable(caller)) {
            m_time.at(deadline, [callback] { callback(unreachableError()); });
            return;
        }
        m_time.after(m_latency, [this, callback, prefix = std::string(prefix)] {
            ++m_readCount;
            callback(m_rows.scan(prefix));
        });
    };
    table.commit
        = [this, caller](Commit commit, TimePoint deadline, const Table::CommitCallback &callback) {
              if (!isReachable(caller)) {
                  m_time.at(deadline, [callback] { callback({CommitOutcome::Unknown, {}}); });
                  return;
              }
              commit.writes.push_back({.key = writeRecordKey(commit.writeId), .value = "1"});
              m_time.after(m_latency, [this, callback, deadline, commit = std::move(commit)] {
                  ++m_commitCount;
                  const CommitAnswer answer = m_rows.commit(commit.writes);
                  if (m_answersToLose > 0) {
                      --m_answersToLose;
                      m_time.at(deadline, [callback] { callback({CommitOutcome::Unknown, {}}); });
                      return;
                  }
                  callback(answer);
              });
          };
    return table;
}

} // namespace sequoiapier
