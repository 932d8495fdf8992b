// Borrower: the units of one resource that this process holds on loan.
//
//   LoanReport report = borrower.makeReport(queue.size() + borrower.inUse(), now);
//   send(report);                                    // keep `now` as the moment of the send
//   borrower.accept(grant, reportSentAt, now);       // when the answer arrives
//   if (borrower.tryAcquire(now))
//       startWork();                                 // release() once its end is shown
//
// The lease is counted from the moment at which the report was sent, less the margin for clocks
// that run at different rates, so it ends here before it ends at the lender. Units with work
// started stay counted until release(), whatever happens to the lease.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/loangrant.h"
#include "sequoiapier/loanreport.h"

#include <algorithm>

namespace sequoiapier {

class Borrower
{
public:
    // Left-out checks for tests that prove that the invariant checker can fail.
    struct Faults
    {
        bool ignoreEpoch = false;
        bool ignoreLease = false;
    };

    struct Options
    {
        std::string resource;
        MemberId self;
        std::uint32_t weight = 1;
        double clockRateMargin = 0.01; // part of a term that clocks may drift apart
        Faults faults = {};
    };

    explicit Borrower(Options options);

    // Takes `units` for new work; false if the lease has lapsed or too few units are free.
    // Call it immediately before the work is sent.
    bool tryAcquire(TimePoint now, std::int64_t units = 1);
    // Gives back units whose work is shown to have ended.
    void release(TimePoint now, std::int64_t units = 1);

    // For a borrower that lends its units on: all that it has lent counts as in use.
    void setInUse(std::int64_t units) { m_inUse = units; }

    // The next report. `wanted` is the demand in units, with those in use for this borrower's own
    // work.
    LoanReport makeReport(std::int64_t wanted, TimePoint now);
    // Ok, or why the grant was ignored: NotFound (other resource), EpochStale (an earlier epoch, or
    // an answer older than one accepted), LeaseExpired (its term is over), or the grant's own code.
    // `reportSentAt` is the moment at which the report was sent that the grant answers.
    ResultCode accept(const LoanGrant &grant, TimePoint reportSentAt, TimePoint now);
    // Ignores grants of epochs before `epoch` from now on. Call it with the epoch in the owner row,
    // read after this borrower was registered in the table.
    void requireEpoch(std::uint64_t epoch) { m_epoch = std::max(m_epoch, epoch); }
    // Ends the lease at once, for instance after the process was paused.
    void dropLease();

    bool isLeased(TimePoint now) const { return m_held > 0 && now < m_leaseEnd; }
    // Units that new work could take now.
    std::int64_t available(TimePoint now) const;
    std::int64_t held() const { return m_held; }
    std::int64_t inUse() const { return m_inUse; }
    // More units are wanted by all borrowers than there are: what is idle is given back by the next
    // report.
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
