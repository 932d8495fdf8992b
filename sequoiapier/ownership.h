// Ownership: decides through the table which member lends which resource.
//
//   Ownership ownership({.self = self, .zone = "a", .address = "10.0.0.7:7000"}, table,
//                       {.now = BootClock::now, .onAcquired = startLender, .onLost = stopLender});
//   ownership.setResources({"slots/pricing", "team/settlements"});
//   ownership.tick();                                   // every 100 ms or so
//   lender.setOwnedUntil(ownership.ownedUntil());       // before every use of a lender
//
// Each member renews one row of its own, however many resources it lends. A resource changes hands
// by compare-and-set of its owner row: by its owner, which stops lending first, or by another
// member that saw the owner's row unchanged for a whole term and removes that row in the same
// transaction, so that the old owner can't renew any more. The rows read back are the only source
// of what this member owns, so a lost answer is resolved by the scan that follows.
#pragma once

#include "sequoiapier/memberview.h"
#include "sequoiapier/ownerchoice.h"
#include "sequoiapier/table.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

// A resource that this member has begun to own.
struct OwnedResource
{
    std::string name;
    std::uint64_t epoch = 0; // 1: no one lent it before
    std::vector<MemberId> borrowers; // all that may hold loans of earlier epochs
};

class Ownership
{
public:
    struct Options
    {
        MemberId self;
        std::string zone;
        std::string address;
        Duration term = std::chrono::seconds(3); // of the lease that a renewal gives
        Duration renewInterval = std::chrono::seconds(1);
        Duration scanInterval = std::chrono::milliseconds(500);
        Duration tableTimeout = std::chrono::milliseconds(800);
        double clockRateMargin = 0.01; // part of a term that clocks may drift apart
        // Resources go to the members with the least load for their capacity, and stay with an
        // owner that lives as long as its load is not clearly above the others'. Members that would
        // not take over soon renew and scan seldom. For resources whose owner is costly to change.
        // False: rendezvous hashing alone decides, and all members renew and scan alike.
        bool isSticky = false;
        double capacity = 1; // of this member, in a unit common to all; above 0
    };

    struct Hooks
    {
        std::function<TimePoint()> now;
        std::function<void(const OwnedResource &)> onAcquired;
        std::function<void(const std::string &resource)> onLost; // stop granting before returning
    };

    Ownership(Options options, Table table, Hooks hooks);

    // What is to be lent in all, the same list at every member. Resources that are not in it any
    // more are given up. Of several resources of an overloaded owner the last by name goes first.
    void setResources(std::vector<std::string> resources);
    // Starts the renewals, scans and changes that are due.
    void tick();
    // The owners may have changed: scans soon. For who was not answered by one.
    void refresh();
    // Tells the other members, hands all resources over to them, then removes this member. It goes
    // on to see who owns what as long as it is ticked.
    void leave();
    bool hasLeft() const { return m_hasLeft; }

    // Whether this member owns something or is next in turn.
    bool isWatching() const { return m_isWatching; }
    bool owns(const std::string &resource) const { return m_owned.contains(resource); }
    std::size_t ownedCount() const { return m_owned.size(); }
    // No other member takes over what this one owns before then.
    TimePoint ownedUntil() const { return m_ownedUntil; }
    // The owner row as last scanned; nullptr if there is none.
    const OwnerRow *ownerOf(const std::string &resource) const;
    const MemberView &members() const { return m_members; }
    // This member. Its incarnation is not the one in the options but grows from it, so that none is
    // used twice: by one when it was declared dead and has joined again, by more with each start.
    const MemberId &self() const { return m_options.self; }

private:
    // Times as seldom as the others, members that would not take over soon renew and scan.
    static constexpr int BystanderSlowness = 4;

    struct Owner
    {
        OwnerRow row;
        std::uint64_t version = 0;
    };

    using IsLost = std::function<bool(const std::string &resource, std::uint64_t epoch)>;

    bool isConfigured(const std::string &resource) const;
    TimePoint deadline() const;
    std::string nextWriteId();

    void renew();
    void onRenewed(const CommitAnswer &answer, const std::string &writeId, TimePoint sentAt,
                   int terms);
    void readBackRenewal(const std::string &writeId, TimePoint sentAt, int terms);
    void confirm(TimePoint sentAt, int terms);
    TimePoint ownedAfter(TimePoint sentAt, int terms) const;
    void rejoin();

    void scan();
    void onScanned(const std::vector<TableRow> &rows);
    void observeOwners(const std::vector<TableRow> &rows);
    bool isToWatch(const std::vector<OwnerCandidate> &members) const;
    void updateWatching(const std::vector<OwnerCandidate> &members);
    int slowness() const { return m_isWatching ? 1 : BystanderSlowness; }
    void giveUp(const IsLost &isLost);
    std::vector<std::string> newlyOwned() const;
    void scanBorrowers();
    void acquire(const std::vector<MemberId> &borrowers);

    bool isEarlierSelf(const MemberId &member) const;
    std::vector<OwnerCandidate> candidates() const;
    MemberId pick(const std::string &resource, std::span<const std::string> names) const;
    std::size_t ownerIndex(const std::string &resource,
                           std::span<const OwnerCandidate> members) const;
    MemberId latestLife(const std::string &name) const;
    void plan();
    void planResource(const std::string &resource, const MemberId &next, Commit &commit);
    MemberId chooseOwner(const std::string &resource, std::vector<OwnerCandidate> &members) const;
    void change(Commit commit);

    Options m_options;
    Table m_table;
    Hooks m_hooks;
    MemberView m_members;
    std::vector<std::string> m_resources;
    std::map<std::string, Owner> m_owners;
    std::map<std::string, std::uint64_t> m_owned; // resource and epoch
    std::map<std::string, std::uint64_t> m_givenUp; // resource and the last epoch lent here
    std::vector<std::string> m_acquiring; // wait for the scan of borrowers
    TimePoint m_ownedUntil{};
    TimePoint m_nextRenewal{};
    TimePoint m_nextScan{};
    TimePoint m_lastScan{}; // when it was begun
    bool m_isWatching = true; // owns something or may soon
    std::uint64_t m_memberVersion = 0; // of this member's row, 0 if it has none yet
    std::uint64_t m_renewal = 0;
    std::uint64_t m_writes = 0;
    bool m_isRenewing = false;
    bool m_isScanning = false;
    bool m_isChanging = false;
    bool m_isAcquiring = false;
    bool m_isLeaving = false;
    bool m_isLeavingTold = false; // its row says so
    TimePoint m_leavingSince{};
    bool m_hasLeft = false;
};

} // namespace sequoiapier
