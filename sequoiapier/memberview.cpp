#include "sequoiapier/memberview.h"

#include <utility>

namespace sequoiapier {

void MemberView::observe(std::span<const TableRow> rows, TimePoint now)
{
    const bool isGap = now - m_lastScan > m_intervalFactor * m_options.maxScanGap;
    m_lastScan = now;
    std::map<MemberId, Entry> entries;
    for (const TableRow &row : rows) {
        const Result<MemberId> member = parseMemberKey(row.key, LenderPrefix);
        const Result<LenderRow> value = parseLenderRow(row.value);
        if (!member || !value)
            continue;
        const Entry *previous = find(member.value());
        const bool isUnchanged = !isGap && previous != nullptr && previous->version == row.version;
        const auto terms = std::int64_t(value.value().terms) * m_intervalFactor;
        const TimePoint deadline = isUnchanged ? previous->deadline : now + terms * m_options.term;
        entries[member.value()] = {value.value(), row.version, deadline};
    }
    m_entries = std::move(entries);
}

bool MemberView::isAlive(const MemberId &member, TimePoint now) const
{
    const Entry *entry = find(member);
    return entry != nullptr && now < entry->deadline;
}

const MemberView::Entry *MemberView::find(const MemberId &member) const
{
    const auto found = m_entries.find(member);
    return found != m_entries.end() ? &found->second : nullptr;
}

} // namespace sequoiapier
