// Lender: lends the units of one bounded resource (runner slots, connections, a team ceiling, an
// availability budget, spare hosts) to borrowers, by weighted max-min share of their demand.
//
//   Lender lender({.resource = "slots/pricing", .capacity = 80, .epoch = 1}, now);
//   LoanGrant grant = lender.report(report, now);    // answer every report with its grant
//   lender.tick(now);                                // about once a second
//
// What is lent never exceeds the capacity. A unit is free again once its borrower's report shows
// that it was given back, or once the lease has lapsed and the end of work started under it is
// shown: by workEnded(), or by Options::longestWork having passed.
//
// A lender after the first one counts the whole capacity as lent, less what borrowers that have
// taken a grant of its epoch say they hold, until all of Options::priorBorrowers have done so or
// the time is over in which a loan of an earlier lender could last.
//
// After `ownedUntil` the lender can't know whether another one took over. It then lends on without
// reclaiming anything by time, and until `ownedUntil` plus `outageTerm` at the longest.
// docs/design/lending.md has the argument why this is safe.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/loangrant.h"
#include "sequoiapier/loanrecord.h"
#include "sequoiapier/loanreport.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sequoiapier {

class Lender
{
public:
    // Left-out checks for tests that prove that the invariant checker can fail.
    struct Faults
    {
        bool forgetPriorLoans = false; // lends before the old terms end
        bool reclaimUnshown = false; // counts a reduced loan as returned when the grant is made
        bool reclaimWhenNotOwner = false; // reclaims by time after ownedUntil
        bool ignoreEpoch = false; // lends on after a report of a later epoch
    };

    struct Options
    {
        std::string resource;
        std::int64_t capacity = 0; // units
        std::uint64_t epoch = 1;
        Duration term = std::chrono::seconds(3); // of a lease
        Duration outageTerm{}; // of a lease past ownedUntil; the same at all lenders of a resource
        Duration suspicion{}; // time before ownedUntil from which leases last into outageTerm
        Duration longestWork{}; // work is taken to have ended this long after its lease
        double clockRateMargin = 0.01; // part of a term that clocks may drift apart
        std::size_t maxBorrowers = 1024;
        // Time after which the units left by rounding shares move on; zero: never.
        Duration turnLength{};
        // Shares are worked out anew at most once in this time for each borrower, so that reports
        // cost the same whatever the number of borrowers; zero: at each report.
        Duration planInterval{};
        bool lendSurplus = true; // lends units that no one wants, by average demand
        std::int64_t priorCapacity = 0; // most that earlier lenders may have lent; 0: first lender
        std::optional<std::vector<MemberId>> priorBorrowers; // all that may hold such loans
        Faults faults = {};
    };

    Lender(Options options, TimePoint now);

    // Takes in a report and answers it. Codes other than Ok grant nothing: NotFound (another
    // resource), EpochStale (an older report than the last, or this lender was succeeded), NotOwner
    // (past ownedUntil and outageTerm), CapacityExceeded (maxBorrowers). O(log n) in borrowers, and
    // O(n log n) for the report that works out the shares.
    LoanGrant report(const LoanReport &report, TimePoint now);
    // Reclaims what has lapsed. O(1), and O(n) when something has.
    void tick(TimePoint now);

    void setCapacity(std::int64_t capacity)
    {
        m_options.capacity = capacity;
        m_planDue = {};
    }
    // No other lender takes over before `until`. The default is never.
    void setOwnedUntil(TimePoint until) { m_ownedUntil = until; }
    // At most `remaining` units of work started by a borrower whose lease has lapsed still run.
    void workEnded(const MemberId &borrower, std::int64_t remaining, TimePoint now);

    // Units that may be in use by borrowers, with those of earlier lenders.
    std::int64_t lent() const { return m_unaccounted + m_exposure; }
    // Units of earlier lenders that no borrower accounts for yet.
    std::int64_t unaccounted() const { return m_unaccounted; }
    // Demand of all borrowers, in units.
    std::int64_t wanted() const;
    bool isSuperseded() const { return m_isSuperseded; }
    bool isOwner(TimePoint now) const { return now < m_ownedUntil; }
    std::size_t borrowerCount() const { return m_records.size(); }
    const Options &options() const { return m_options; }

private:
    using Record = detail::LoanRecord;

    bool isStanding(TimePoint now) const { return now >= m_ownedUntil - m_options.suspicion; }
    Duration leaseTerm(TimePoint now) const;
    ResultCode check(const LoanReport &report, TimePoint now) const;
    void takeIn(Record &record, const LoanReport &report);
    void adopt(const LoanReport &report);
    bool isAdopted(const MemberId &borrower) const;
    void plan(const Record &reporting, TimePoint now);
    std::int64_t planGroups(const Record &reporting, TimePoint now, std::int64_t capacity);
    double takeServed(Record &record) const;
    void planSurplus(std::int64_t capacity);
    void advanceTurns(TimePoint now);
    LoanGrant makeGrant(Record &record, TimePoint now);
    bool mayReclaim(TimePoint now) const;
    bool isLapsed(const Record &record, TimePoint now) const;
    TimePoint nextReclaim(const Record &record, TimePoint now) const;

    Options m_options;
    TimePoint m_ownedUntil = TimePoint::max();
    TimePoint m_priorEnd;
    std::int64_t m_unaccounted = 0;
    std::set<MemberId> m_awaited;
    std::set<MemberId> m_adopted; // their part is off m_unaccounted; empty once that is 0
    bool m_isSuperseded = false;
    std::map<MemberId, Record> m_records;
    std::int64_t m_exposure = 0; // of all records
    TimePoint m_nextReclaim = TimePoint::max(); // nothing is to be reclaimed before
    bool m_isContended = false; // more was wanted than there was at the last plan
    TimePoint m_planDue{};
    TimePoint m_plannedAt{};
    TimePoint m_turnEnd{};
    std::map<std::string, ShareTurn, std::less<>> m_groupTurns;
};

} // namespace sequoiapier
