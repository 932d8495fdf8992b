// Lender: lends the units of one bounded resource (runner slots, connections, a team ceiling, an
// availability budget, spare hosts) to borrowers, by weighted max-min fair share of their demand.
//
//   Lender lender({.resource = "slots/pricing", .capacity = 80, .epoch = 1}, now);
//   LoanGrant grant = lender.report(report, now);    // answer every report with its grant
//   lender.tick(now);                                // about once a second
//
// The units lent never exceed the capacity. A unit becomes free once its borrower's report shows
// that it was returned, or once the lease has expired and the work started under it is known to
// have ended by workEnded(), or is assumed to because Options::longestWork has passed.
//
// A lender that succeeds another one first counts the whole capacity as lent, less the units
// reported by borrowers that have accepted a grant of its epoch. It does so until all of
// Options::priorBorrowers have accepted one, or until every loan of an earlier lender must have
// ended.
//
// After `ownedUntil` the lender can't know whether another one has taken over. It then continues to
// lend without reclaiming units by time, for at most `outageTerm` after `ownedUntil`.
// docs/design/lending.md argues why this is safe.
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
    // Checks that tests disable, to prove that the invariant checker detects violations.
    struct Faults
    {
        bool forgetPriorLoans = false; // lends before the leases of earlier lenders end
        bool reclaimUnreported = false; // counts units as returned once a grant takes them back
        bool reclaimWhenNotOwner = false; // reclaims units by time after ownedUntil
        bool ignoreEpoch = false; // continues to lend after a report of a later epoch
    };

    struct Options
    {
        std::string resource;
        std::int64_t capacity = 0; // units
        std::uint64_t epoch = 1;
        Duration term = std::chrono::seconds(3); // lease term while owner
        // Leases granted in an outage end this long after ownedUntil; the same at all lenders of a
        // resource.
        Duration outageTerm{};
        // Time before ownedUntil from which leases are granted until the end of outageTerm.
        Duration outageTermLead{};
        Duration longestWork{}; // work is assumed to have ended this long after its lease
        double clockRateMargin = 0.01; // largest difference in clock rates, as a fraction
        std::size_t maxBorrowers = 1024;
        // Period after which units left over by rounding are reassigned; zero disables it.
        Duration deficitPeriod{};
        // Shares are computed at most once in this interval times the number of borrowers, so that
        // the cost of a report does not depend on that number. Zero computes them at each report.
        Duration planInterval{};
        bool lendSurplus = true; // lends units that no one wants now, by average demand
        // Maximum number of units lent by earlier lenders; 0: this is the first lender.
        std::int64_t priorCapacity = 0;
        // All borrowers that may hold loans of earlier lenders; nullopt if they are not known.
        std::optional<std::vector<MemberId>> priorBorrowers;
        Faults faults = {};
    };

    Lender(Options options, TimePoint now);

    // Processes a report and returns the grant that answers it. Codes other than Ok grant nothing:
    // NotFound (another resource), EpochStale (a report older than the last one, or this lender was
    // superseded), NotOwner (outageTerm after ownedUntil is over), CapacityExceeded (maxBorrowers).
    // O(log n) in the number of borrowers, and O(n log n) for a report that computes the shares.
    LoanGrant report(const LoanReport &report, TimePoint now);
    // Reclaims units of expired leases. O(1), and O(n) when some are due.
    void tick(TimePoint now);

    void setCapacity(std::int64_t capacity)
    {
        m_options.capacity = capacity;
        m_planDue = {};
    }
    // States that no other lender takes over before `until`. Without a call, none ever does.
    void setOwnedUntil(TimePoint until) { m_ownedUntil = until; }
    // States that at most `remaining` units of work started by `borrower` are still running.
    // Ignored before the borrower's lease has expired and after ownedUntil.
    void workEnded(const MemberId &borrower, std::int64_t remaining, TimePoint now);

    // Units that borrowers may be using, including loans of earlier lenders.
    std::int64_t lent() const { return m_unaccounted + m_exposure; }
    // Units lent by earlier lenders that no borrower has reported to this one yet.
    std::int64_t unaccounted() const { return m_unaccounted; }
    // Total demand of all borrowers, in units.
    std::int64_t wanted() const;
    bool isSuperseded() const { return m_isSuperseded; }
    bool isOwner(TimePoint now) const { return now < m_ownedUntil; }
    std::size_t borrowerCount() const { return m_records.size(); }
    const Options &options() const { return m_options; }

private:
    using Record = detail::LoanRecord;

    bool usesOutageTerm(TimePoint now) const
    {
        return now >= m_ownedUntil - m_options.outageTermLead;
    }
    Duration leaseTerm(TimePoint now) const;
    ResultCode check(const LoanReport &report, TimePoint now) const;
    void applyReport(Record &record, const LoanReport &report);
    void reconcile(const LoanReport &report);
    bool isReconciled(const MemberId &borrower) const;
    void plan(const Record &reporting, TimePoint now);
    std::int64_t planGroups(const Record &reporting, TimePoint now, std::int64_t capacity);
    double consumeServed(Record &record) const;
    void planSurplus(std::int64_t capacity);
    void advanceCounters(TimePoint now);
    LoanGrant makeGrant(Record &record, TimePoint now);
    bool mayReclaim(TimePoint now) const;
    bool isExpired(const Record &record, TimePoint now) const;
    TimePoint nextReclaim(const Record &record, TimePoint now) const;

    Options m_options;
    TimePoint m_ownedUntil = TimePoint::max();
    TimePoint m_priorLoansEnd;
    std::int64_t m_unaccounted = 0;
    std::set<MemberId> m_unreconciled; // prior borrowers that have not accepted a grant yet
    std::set<MemberId> m_reconciled; // their units are off m_unaccounted; empty once that is 0
    bool m_isSuperseded = false;
    std::map<MemberId, Record> m_records;
    std::int64_t m_exposure = 0; // sum over all records
    TimePoint m_nextReclaim = TimePoint::max(); // no units are to be reclaimed before
    bool m_isContended = false; // demand exceeded the capacity at the last plan
    TimePoint m_planDue{};
    TimePoint m_plannedAt{};
    TimePoint m_periodEnd{};
    std::map<std::string, DeficitCounter, std::less<>> m_groupCounters; // by group name
};

} // namespace sequoiapier
