// FakeTable: the platform's table simulated under virtual time, with fault injection.
//
//   FakeTable fake(time);
//   Table table = fake.hooks("gateway-1");
//   fake.setOutage(true);                 // every call fails at its deadline
//   fake.cutOff("gateway-1");             // calls of this caller only
//   fake.loseNextAnswers(2);              // the next commits take effect, their answers are lost
#pragma once

#include "sequoiapier/table.h"
#include "testing/standin/memorytable.h"
#include "testing/support/virtualtime.h"

#include <set>
#include <string>

namespace sequoiapier {

class FakeTable
{
public:
    explicit FakeTable(VirtualTime &time)
        : m_time(time)
    { }

    // The table's functions as called by the process named `caller`.
    Table hooks(const std::string &caller);

    void setOutage(bool isOutage) { m_isOutage = isOutage; }
    void cutOff(const std::string &caller) { m_unreachableCallers.insert(caller); }
    void reconnect(const std::string &caller) { m_unreachableCallers.erase(caller); }
    void loseNextAnswers(int count) { m_answersToLose = count; }
    void setLatency(Duration latency) { m_latency = latency; }

    // Direct access to the rows, without latency or faults.
    MemoryTable &rows() { return m_rows; }
    std::uint64_t readCount() const { return m_readCount; }
    std::uint64_t commitCount() const { return m_commitCount; }

private:
    bool isReachable(const std::string &caller) const;

    VirtualTime &m_time;
    MemoryTable m_rows;
    bool m_isOutage = false;
    std::set<std::string> m_unreachableCallers;
    int m_answersToLose = 0;
    Duration m_latency = std::chrono::milliseconds(2);
    std::uint64_t m_readCount = 0;
    std::uint64_t m_commitCount = 0;
};

} // namespace sequoiapier
