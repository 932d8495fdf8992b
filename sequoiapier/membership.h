// Membership: the processes of the system, as one of them knows them.
//
//   Membership membership({.self = "gateway-1"});
//   membership.onRows(startedAt, rows, now);            // scan of `members/`
//   membership.onHeartbeat("gateway-2", incarnation, now);
//   membership.onLeavingHosts(addresses, now);          // the platform's lagging list
//   for (const MemberRow &peer : membership.alive("gateway", now)) ...
//
// Each source serves for what it can be trusted for:
// - table rows say who may take part, and under which incarnation;
// - heartbeats say who is alive now: a member is until heartbeatTimeout after the last one;
// - the platform's list may only stop new work early: it never proves that a host is dead or gone.
// A restart on the same address is another incarnation: heartbeats of a lower one are ignored.
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
        std::string self;
        Duration heartbeatTimeout = std::chrono::seconds(2);
        Duration leavingDuration = std::chrono::seconds(30); // after the list last said so
        Duration forgetAfter = std::chrono::hours(2); // silence after which a row may be removed
        std::size_t maxMembers = 512;
    };

    explicit Membership(Options options);

    // Takes the rows of a scan that began at `startedAt`; an earlier scan than the last is ignored.
    // Returns the number of rows left out: malformed, or past maxMembers.
    std::size_t onRows(TimePoint startedAt, std::span<const TableRow> rows, TimePoint now);
    // Returns whether the heartbeat counts: the member is recorded, its incarnation not an old one.
    bool onHeartbeat(std::string_view name, std::uint64_t incarnation, TimePoint now);
    // Addresses that the platform's list calls leaving.
    void onLeavingHosts(std::span<const std::string> addresses, TimePoint now);

    bool isAlive(std::string_view name, TimePoint now) const;
    // Whether new work may go to the member: it is alive and not known to leave.
    bool takesNewWork(std::string_view name, TimePoint now) const;
    // Recorded members of `role` other than self, alive or not; any role if it is empty.
    std::vector<MemberRow> peers(std::string_view role) const;
    // As peers(), those that are alive.
    std::vector<MemberRow> alive(std::string_view role, TimePoint now) const;
    // Whether self is among the `count` live members that read the table for all, spread over the
    // zones. Members may disagree for a while: then a few more or fewer read.
    bool isTableReader(std::size_t count, TimePoint now) const;
    // Removals of rows whose member was silent for forgetAfter; compare-and-set protects a restart.
    std::vector<RowWrite> removals(TimePoint now) const;
    std::size_t size() const { return m_members.size(); }

private:
    struct Entry
    {
        MemberRow row;
        std::uint64_t incarnation = 0; // highest known
        TimePoint firstSeen;
        TimePoint aliveUntil;
    };

    const Entry *find(std::string_view name) const;
    void takeRow(MemberRow row, TimePoint now, std::map<std::string, Entry, std::less<>> &members);

    Options m_options;
    std::map<std::string, Entry, std::less<>> m_members;
    std::map<std::string, TimePoint, std::less<>> m_leavingUntil; // by address
    TimePoint m_scanStart{};
};

} // namespace sequoiapier
