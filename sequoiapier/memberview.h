// MemberView: tells which lending members are alive, from the renewals of their table rows.
//
//   view.observe(rows, now);                 // after every scan of the members' rows
//   if (!view.isAlive(owner, now)) ...
//
// A member counts as dead once its row has been seen unchanged for all the terms that its renewal
// lasts, by the clock of this process and while the table answered. A gap between two scans
// restarts the observation. A process that scans at a longer interval sets an interval factor, by
// which terms and the allowed gap are multiplied, so that a table outage between two of its scans
// makes no member appear dead.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/ownerrow.h"
#include "sequoiapier/table.h"

#include <map>
#include <span>

namespace sequoiapier {

class MemberView
{
public:
    struct Options
    {
        Duration term{}; // duration of one term
        Duration maxScanGap{}; // longest time between two scans that continues an observation
    };

    struct Entry
    {
        LenderRow row;
        std::uint64_t version = 0; // version of the table row
        TimePoint deadline{}; // the member counts as dead from this time on if its row is unchanged
    };

    explicit MemberView(Options options)
        : m_options(options)
    { }

    void setIntervalFactor(int factor) { m_intervalFactor = factor; }
    // Processes the rows of a scan in O(n log n). Malformed rows and rows that are not lending
    // members are skipped.
    void observe(std::span<const TableRow> rows, TimePoint now);

    bool isAlive(const MemberId &member, TimePoint now) const;
    // Returns nullptr if the member has no row, because it left or was declared dead.
    const Entry *find(const MemberId &member) const;
    const std::map<MemberId, Entry> &entries() const { return m_entries; }

private:
    Options m_options;
    int m_intervalFactor = 1;
    TimePoint m_lastScan{};
    std::map<MemberId, Entry> m_entries;
};

} // namespace sequoiapier
