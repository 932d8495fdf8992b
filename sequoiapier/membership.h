// Membership: one process's view of the other processes of the system.
//
//   Membership membership({.self = "gateway-1"});
//   membership.onRows(startedAt, rows, now);            // scan of `members/`
//   membership.onHeartbeat("gateway-2", incarnation, now);
//   membership.onLeavingHosts(addresses, now);          // the platform's list, which lags
//   for (const MemberRow &peer : membership.alive("gateway", now)) ...
//
// Each source is used only for what it reliably tells:
// - Table rows tell which processes are members, and under which incarnation.
// - Heartbeats tell which members are alive: a member is until heartbeatTimeout after the last one.
// - The platform's list of leaving hosts only stops new work early. It never proves that a host is
//   dead or gone.
// A process that restarts has a new incarnation; heartbeats of a lower incarnation are ignored.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/memberrow.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class Membership
{
public:
    struct Options
    {
        std::string self; // name of this process
        Duration heartbeatTimeout = std::chrono::seconds(2);
        Duration leavingDuration = std::chrono::seconds(30); // since the address was last listed
        // Time without a heartbeat after which a member's row may be removed.
        Duration rowRetention = std::chrono::hours(2);
        std::size_t maxMembers = 512;
    };

    explicit Membership(Options options);

    // Replaces the members by the rows of a scan that began at `startedAt`. A scan that began
    // before the last one is ignored. Returns the number of rows skipped as malformed or beyond
    // maxMembers.
    std::size_t onRows(TimePoint startedAt, std::span<const TableRow> rows, TimePoint now);
    // Records a heartbeat. Returns false, and ignores it, if the member has no row or the
    // incarnation is an earlier one.
    bool onHeartbeat(std::string_view name, std::uint64_t incarnation, TimePoint now);
    // Records the addresses that the platform lists as leaving.
    void onLeavingHosts(std::span<const std::string> addresses, TimePoint now);

    bool isAlive(std::string_view name, TimePoint now) const;
    // Whether new work may be sent to the member: it is alive and not listed as leaving.
    bool takesNewWork(std::string_view name, TimePoint now) const;
    // Members with a row and the role `role`, except self, alive or not. An empty `role` selects
    // all roles.
    std::vector<MemberRow> peers(std::string_view role) const;
    // The members of peers(role) that are alive.
    std::vector<MemberRow> alive(std::string_view role, TimePoint now) const;
    // Whether self is one of the `count` live members that read the table on behalf of all; they
    // are spread over the zones. While members have different views, a few more or fewer may read.
    bool isTableReader(std::size_t count, TimePoint now) const;
    // Writes that remove the rows of members without a heartbeat for rowRetention. They are
    // compare-and-set, so that the new row of a restarted member is not removed.
    std::vector<RowWrite> removals(TimePoint now) const;
    std::size_t size() const { return m_members.size(); }

private:
    struct Entry
    {
        MemberRow row;
        std::uint64_t incarnation = 0; // highest one of the row and the heartbeats
        TimePoint firstSeen;
        TimePoint aliveUntil;
    };

    const Entry *find(std::string_view name) const;
    void mergeRow(MemberRow row, TimePoint now, std::map<std::string, Entry, std::less<>> &members);

    Options m_options;
    std::map<std::string, Entry, std::less<>> m_members;
    std::map<std::string, TimePoint, std::less<>> m_leavingUntil; // end time by address
    TimePoint m_scanStart{}; // start of the latest scan
};

} // namespace sequoiapier
