// A scan replaces the set of members; the heartbeat state of members that remain is kept. Every
// operation costs at most O(n log n) for n members.
#include "sequoiapier/membership.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace sequoiapier {

Membership::Membership(Options options)
    : m_options(std::move(options))
{ }

std::size_t Membership::onRows(TimePoint startedAt, std::span<const TableRow> rows, TimePoint now)
{
    if (startedAt < m_scanStart)
        return 0;
    m_scanStart = startedAt;
    std::size_t skipped = 0;
    std::map<std::string, Entry, std::less<>> members;
    for (const TableRow &row : rows) {
        Result<MemberRow> member = parseMemberRow(row);
        if (member && members.size() < m_options.maxMembers)
            mergeRow(std::move(member.value()), now, members);
        else
            ++skipped;
    }
    m_members = std::move(members);
    return skipped;
}

void Membership::mergeRow(MemberRow row, TimePoint now,
                          std::map<std::string, Entry, std::less<>> &members)
{
    Entry entry{.incarnation = row.incarnation, .firstSeen = now};
    const Entry *known = find(row.name);
    if (known != nullptr && known->incarnation >= row.incarnation) {
        entry.incarnation = known->incarnation;
        entry.firstSeen = known->firstSeen;
        entry.aliveUntil = known->aliveUntil;
    }
    entry.row = std::move(row);
    members.emplace(entry.row.name, std::move(entry));
}

bool Membership::onHeartbeat(std::string_view name, std::uint64_t incarnation, TimePoint now)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || incarnation < found->second.incarnation)
        return false;
    found->second.incarnation = incarnation;
    found->second.aliveUntil = now + m_options.heartbeatTimeout;
    return true;
}

void Membership::onLeavingHosts(std::span<const std::string> addresses, TimePoint now)
{
    std::erase_if(m_leavingUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const std::string &address : addresses) {
        if (m_leavingUntil.size() < m_options.maxMembers || m_leavingUntil.contains(address))
            m_leavingUntil[address] = now + m_options.leavingDuration;
    }
}

const Membership::Entry *Membership::find(std::string_view name) const
{
    const auto found = m_members.find(name);
    return found != m_members.end() ? &found->second : nullptr;
}

bool Membership::isAlive(std::string_view name, TimePoint now) const
{
    const Entry *entry = find(name);
    return entry != nullptr && (name == m_options.self || now < entry->aliveUntil);
}

bool Membership::takesNewWork(std::string_view name, TimePoint now) const
{
    if (!isAlive(name, now))
        return false;
    const auto leaving = m_leavingUntil.find(find(name)->row.address);
    return leaving == m_leavingUntil.end() || leaving->second <= now;
}

std::vector<MemberRow> Membership::peers(std::string_view role) const
{
    std::vector<MemberRow> rows;
    for (const auto &[name, entry] : m_members) {
        if (name != m_options.self && (role.empty() || entry.row.role == role))
            rows.push_back(entry.row);
    }
    return rows;
}

std::vector<MemberRow> Membership::alive(std::string_view role, TimePoint now) const
{
    std::vector<MemberRow> rows = peers(role);
    std::erase_if(rows, [&](const MemberRow &row) { return !isAlive(row.name, now); });
    return rows;
}

bool Membership::isTableReader(std::size_t count, TimePoint now) const
{
    // Members in reading order: the first member of every zone, then the second one, and so on.
    std::map<std::string_view, std::size_t> seenInZone;
    std::set<std::tuple<std::size_t, std::string_view, std::string_view>> order;
    for (const auto &[name, entry] : m_members) {
        if (isAlive(name, now))
            order.emplace(seenInZone[entry.row.zone]++, entry.row.zone, name);
    }
    for (const auto &[round, zone, name] : order) {
        if (count-- == 0)
            return false;
        if (name == m_options.self)
            return true;
    }
    return false;
}

std::vector<RowWrite> Membership::removals(TimePoint now) const
{
    std::vector<RowWrite> writes;
    for (const auto &[name, entry] : m_members) {
        const TimePoint lastActivity = std::max(entry.firstSeen, entry.aliveUntil);
        if (name != m_options.self && now - lastActivity >= m_options.rowRetention) {
            writes.push_back(
                {.key = std::string(MemberPrefix) + name, .baseVersion = entry.row.rowVersion});
        }
    }
    return writes;
}

} // namespace sequoiapier
