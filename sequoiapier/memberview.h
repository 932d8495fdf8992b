// MemberView: which lending members are alive, judged by the renewals of their table rows.
//
//   view.observe(rows, now);                 // after every scan of the members
//   if (!view.isAlive(owner, now)) ...
//
// A member counts as dead once its row was seen unchanged for all the terms that its renewal lasts,
// on this process's own clock while the table answered. A gap between scans starts the observation
// afresh. Who scans seldom sets a slowness: terms and gaps then count that many times, so that an
// outage of the table between two scans shows no one as dead.
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
        Duration term{}; // of a renewal that lasts one
        Duration maxScanGap{}; // between two scans for the observation to go on
    };

    struct Entry
    {
        LenderRow row;
        std::uint64_t version = 0; // of the table row
        TimePoint deadline{}; // dead from here on, if unchanged
    };

    explicit MemberView(Options options)
        : m_options(options)
    { }

    void setSlowness(int slowness) { m_slowness = slowness; }
    // Takes in the members' rows of a scan. Other and malformed rows are skipped. O(n log n).
    void observe(std::span<const TableRow> rows, TimePoint now);

    bool isAlive(const MemberId &member, TimePoint now) const;
    // nullptr if the member has no row: it left or was declared dead.
    const Entry *find(const MemberId &member) const;
    const std::map<MemberId, Entry> &entries() const { return m_entries; }

private:
    Options m_options;
    int m_slowness = 1;
    TimePoint m_lastScan{};
    std::map<MemberId, Entry> m_entries;
};

} // namespace sequoiapier
