// Borrower: manages the units of one resource that this process holds on loan from a Lender.
//
//   LoanReport report = borrower.makeReport(queue.size() + borrower.inUse(), now);
//   send(report);                                    // keep `now` as reportSentAt
//   borrower.accept(grant, reportSentAt, now);       // when the answer arrives
//   if (borrower.tryAcquire(now))
//       startWork();                                 // release() once the work has ended
//
// The lease term starts when the report was sent and is shortened by a margin for different clock
// rates, so that the lease ends here before it ends at the lender. Units with work started count as
// in use until release(), even after the lease has ended.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/loangrant.h"
#include "sequoiapier/loanreport.h"

#include <algorithm>

namespace sequoiapier {

class Borrower
{
public:
    // Checks that tests disable, to prove that the invariant checker detects violations.
    struct Faults
    {
        bool ignoreEpoch = false; // accepts grants of earlier epochs
        bool ignoreLease = false; // starts work after the lease has expired
    };

    struct Options
    {
        std::string resource;
        MemberId self;
        std::uint32_t weight = 1;
        double clockRateMargin = 0.01; // largest difference in clock rates, as a fraction
        Faults faults = {};
    };

    explicit Borrower(Options options);

    // Acquires `units` for new work; false if the lease has expired or too few units are free.
    // Call it immediately before the work is sent.
    bool tryAcquire(TimePoint now, std::int64_t units = 1);
    // Releases units whose work is known to have ended.
    void release(TimePoint now, std::int64_t units = 1);

    // Sets the units in use of a borrower that lends its units to others: all those it has lent.
    void setInUse(std::int64_t units) { m_inUse = units; }

    // Returns the next report. `wanted` is the demand in units, including those in use for this
    // borrower's own work.
    LoanReport makeReport(std::int64_t wanted, TimePoint now);
    // Applies `grant` to the loan. `reportSentAt` is when the report that the grant answers was
    // sent. Returns Ok, or why no work may start under the grant: NotFound (another resource),
    // EpochStale (an earlier epoch, or an answer older than one accepted), LeaseExpired (its term
    // is over), or the grant's own code.
    ResultCode accept(const LoanGrant &grant, TimePoint reportSentAt, TimePoint now);
    // Ignores grants of epochs before `epoch` from now on. Call it with the epoch in the owner row,
    // read after this borrower was registered in the table.
    void requireEpoch(std::uint64_t epoch) { m_epoch = std::max(m_epoch, epoch); }
    // Ends the lease immediately, for instance after the process was paused.
    void dropLease();

    bool isLeased(TimePoint now) const { return m_held > 0 && now < m_leaseEnd; }
    // Units that new work can acquire now.
    std::int64_t available(TimePoint now) const;
    std::int64_t held() const { return m_held; }
    std::int64_t inUse() const { return m_inUse; }
    // Whether the demand of all borrowers exceeds the capacity, so that the next report returns
    // idle units.
    bool isContended() const { return m_isContended; }
    std::uint64_t epoch() const { return m_epoch; }
    TimePoint leaseEnd() const { return m_leaseEnd; }
    const Options &options() const { return m_options; }
    void setWeight(std::uint32_t weight) { m_options.weight = weight; }

private:
    Options m_options;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_epoch = 0;
    std::int64_t m_held = 0;
    bool m_isContended = false;
    std::int64_t m_inUse = 0;
    TimePoint m_leaseEnd{};
};

} // namespace sequoiapier
