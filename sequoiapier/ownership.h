// Ownership: assigns each resource to the member that lends it, through rows of the table.
//
//   Ownership ownership({.self = self, .zone = "a", .address = "10.0.0.7:7000"}, table,
//                       {.now = BootClock::now, .onAcquired = startLender, .onLost = stopLender});
//   ownership.setResources({"slots/pricing", "team/settlements"});
//   ownership.tick();                                   // every 100 ms or so
//   lender.setOwnedUntil(ownership.ownedUntil());       // before every use of a lender
//
// Each member renews a single row, however many resources it lends. The owner of a resource is
// changed by compare-and-set of its owner row, either by the owner, which stops lending first, or
// by another member. The other member must have seen the owner's member row unchanged for a whole
// term, and removes that row in the same transaction, so that the old owner can't renew any more. A
// member owns only what the scanned rows show, so the next scan resolves a lost answer.
#pragma once

#include "sequoiapier/memberview.h"
#include "sequoiapier/observedepoch.h"
#include "sequoiapier/ownerchoice.h"
#include "sequoiapier/table.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

// A resource that this member has acquired.
struct OwnedResource
{
    std::string name;
    std::uint64_t epoch = 0; // 1 if no member has lent the resource before
    std::vector<MemberId> borrowers; // every member that may hold a loan of an earlier epoch
    // The member whose row stood still, if this one took the resource over without its consent. It
    // may not know yet that it owns nothing any more.
    std::optional<MemberId> takenFrom;
    // The latest epochs that this member has seen, in increasing order, `epoch` included.
    std::vector<ObservedEpoch> observed;
};

class Ownership
{
public:
    struct Options
    {
        MemberId self;
        std::string zone;
        std::string address;
        Duration term = std::chrono::seconds(3); // duration of the lease that a renewal grants
        Duration renewInterval = std::chrono::seconds(1);
        Duration scanInterval = std::chrono::milliseconds(500);
        Duration tableTimeout = std::chrono::milliseconds(800);
        double clockRateMargin = 0.01; // fraction of a term by which clocks may drift apart
        // For resources whose owner is costly to change. If true, resources are assigned to the
        // members with the lowest load relative to their capacity, and a live owner keeps them as
        // long as its load is not clearly higher than the others'. Members that are neither owners
        // nor successors renew and scan at a longer interval. If false, rendezvous hashing alone
        // assigns resources, and all members renew and scan at the same interval.
        bool isSticky = false;
        // Capacity of this member, greater than 0, in a unit common to all members.
        double capacity = 1;
    };

    struct Hooks
    {
        std::function<TimePoint()> now;
        std::function<void(const OwnedResource &)> onAcquired;
        // Must have stopped granting loans of the resource when it returns.
        std::function<void(const std::string &resource)> onLost;
    };

    Ownership(Options options, Table table, Hooks hooks);

    // Sets the resources that the members lend, which must be the same list at every member.
    // Resources that are no longer listed are released. An overloaded owner hands over its last
    // resource by name first.
    void setResources(std::vector<std::string> resources);
    // Starts the renewal and the scan that are due. Changes of owners follow from a scan.
    void tick();
    // Brings the next scan forward, because the owners may have changed. To be called when an owner
    // did not answer.
    void refresh();
    // Announces to the other members that this one leaves, hands all its resources over to them,
    // then removes its row. tick() still keeps ownerOf() up to date afterwards.
    void leave();
    bool hasLeft() const { return m_hasLeft; }

    // Whether this member owns a resource or is a successor of an owner, and so renews and scans at
    // the short interval.
    bool isWatching() const { return m_isWatching; }
    bool owns(const std::string &resource) const { return m_owned.contains(resource); }
    // Whether the rows of the last scan assign a resource to `member`.
    bool ownsAny(const MemberId &member) const;
    std::size_t ownedCount() const { return m_owned.size(); }
    // Time before which no other member takes over a resource of this one.
    TimePoint ownedUntil() const { return m_ownedUntil; }
    // Whether a later incarnation of `member` has joined, so that this one owns nothing any more.
    bool hasEnded(const MemberId &member) const;
    // The owner row as of the last scan; nullptr if there is none.
    const OwnerRow *ownerOf(const std::string &resource) const;
    const MemberView &members() const { return m_members; }
    // This member. Its incarnation is derived from the one in the options so that none is used
    // twice: it increases by one each time the member rejoins after it was declared dead, and by
    // more with each start of the process.
    const MemberId &self() const { return m_options.self; }

private:
    // Factor by which members that are neither owners nor successors lengthen their intervals of
    // renewals and scans.
    static constexpr int NonWatcherIntervalFactor = 4;

    struct Owner
    {
        OwnerRow row;
        std::uint64_t version = 0; // version of the table row
        std::vector<ObservedEpoch> observed; // the latest epochs seen, in increasing order
    };

    struct Takeover
    {
        MemberId from;
        std::uint64_t epoch = 0; // epoch of the resource after the takeover
    };

    using IsLost = std::function<bool(const std::string &resource, std::uint64_t epoch)>;

    bool isConfigured(const std::string &resource) const;
    TimePoint deadline() const;
    std::string nextWriteId();

    void renew();
    void onRenewed(const CommitAnswer &answer, const std::string &writeId, TimePoint sentAt,
                   int terms);
    void readBackRenewal(const std::string &writeId, TimePoint sentAt, int terms);
    void extendLease(TimePoint sentAt, int terms);
    TimePoint leaseEnd(TimePoint sentAt, int terms) const;
    void rejoin();

    void scan();
    void onScanned(const std::vector<TableRow> &rows);
    void observeOwners(const std::vector<TableRow> &rows);
    void observeEpoch(std::vector<ObservedEpoch> &observed, std::uint64_t epoch) const;
    bool mustWatch(const std::vector<OwnerCandidate> &members) const;
    void updateWatching(const std::vector<OwnerCandidate> &members);
    int intervalFactor() const { return m_isWatching ? 1 : NonWatcherIntervalFactor; }
    void release(const IsLost &isLost);
    std::vector<std::string> newlyOwned() const;
    void scanBorrowers();
    void acquire(const std::vector<MemberId> &borrowers);

    bool isEarlierIncarnation(const MemberId &member) const;
    std::vector<OwnerCandidate> candidates() const;
    MemberId pickByHash(const std::string &resource, std::span<const std::string> names) const;
    std::size_t ownerIndex(const std::string &resource,
                           std::span<const OwnerCandidate> members) const;
    MemberId latestIncarnation(const std::string &name) const;
    void planChanges();
    void planResource(const std::string &resource, const MemberId &next, Commit &commit);
    MemberId chooseOwner(const std::string &resource, std::vector<OwnerCandidate> &members) const;
    void commitChanges(Commit commit);

    Options m_options;
    Table m_table;
    Hooks m_hooks;
    MemberView m_members;
    std::vector<std::string> m_resources;
    std::map<std::string, Owner> m_owners;
    std::map<std::string, std::uint64_t> m_owned; // epoch by resource
    std::map<std::string, std::uint64_t> m_releasedEpochs; // last epoch lent here by resource
    std::map<std::string, Takeover> m_takeovers; // latest takeover by resource
    std::vector<std::string> m_acquiring; // resources that wait for the scan of borrowers
    TimePoint m_ownedUntil{};
    TimePoint m_nextRenewal{};
    TimePoint m_nextScan{};
    TimePoint m_lastScan{}; // start of the latest scan
    bool m_isWatching = true; // owns a resource or is a successor
    std::uint64_t m_memberVersion = 0; // version of this member's row, 0 if it has none yet
    std::uint64_t m_renewalCount = 0;
    std::uint64_t m_writeIdCount = 0;
    bool m_isRenewing = false;
    bool m_isScanning = false;
    bool m_isChanging = false;
    bool m_isAcquiring = false;
    bool m_isLeaving = false;
    bool m_isLeavingAnnounced = false; // the member row in the table says that it leaves
    TimePoint m_leavingSince{};
    bool m_hasLeft = false;
};

} // namespace sequoiapier
