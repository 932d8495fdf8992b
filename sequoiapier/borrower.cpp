// A grant replaces the loan that was held. It increases the loan only if it answers the latest
// report: the lender knows from that report that no older grant can increase the loan any more.
// Every call is O(1).
#include "sequoiapier/borrower.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

Borrower::Borrower(Options options)
    : m_options(std::move(options))
{ }

std::int64_t Borrower::available(TimePoint now) const
{
    if (now >= m_leaseEnd && !m_options.faults.ignoreLease)
        return 0;
    return std::max<std::int64_t>(0, m_held - m_inUse);
}

bool Borrower::tryAcquire(TimePoint now, std::int64_t units)
{
    if (units > available(now))
        return false;
    m_inUse += units;
    return true;
}

void Borrower::release(TimePoint /*now*/, std::int64_t units)
{
    m_inUse = std::max<std::int64_t>(0, m_inUse - units);
}

LoanReport Borrower::makeReport(std::int64_t wanted, TimePoint now)
{
    if (now >= m_leaseEnd && !m_options.faults.ignoreLease)
        m_held = std::min(m_held, m_inUse);
    if (m_isContended)
        m_held = std::min(m_held, std::max(m_inUse, wanted));
    LoanReport report{.resource = m_options.resource, .borrower = m_options.self};
    report.sequence = ++m_sequence;
    report.epoch = m_epoch;
    report.held = m_held;
    report.inUse = m_inUse;
    report.wanted = wanted;
    report.weight = m_options.weight;
    report.accepted = m_accepted;
    return report;
}

ResultCode Borrower::accept(const LoanGrant &grant, TimePoint reportSentAt, TimePoint now)
{
    if (grant.resource != m_options.resource)
        return ResultCode::NotFound;
    if (grant.code != ResultCode::Ok)
        return grant.code;
    if (grant.epoch < m_epoch && !m_options.faults.ignoreEpoch)
        return ResultCode::EpochStale;
    if (grant.sequence <= m_accepted || grant.sequence > m_sequence)
        return ResultCode::EpochStale;
    const Duration term = std::chrono::milliseconds(grant.termMilliseconds);
    const auto margin = std::chrono::duration_cast<Duration>(term * m_options.clockRateMargin);
    const TimePoint leaseEnd = reportSentAt + term - margin;
    const bool answersLatest = grant.sequence == m_sequence;
    m_accepted = grant.sequence;
    m_epoch = grant.epoch;
    m_held = answersLatest ? grant.amount : std::min(grant.amount, m_held);
    m_isContended = grant.isContended;
    m_leaseEnd = leaseEnd;
    return now < leaseEnd ? ResultCode::Ok : ResultCode::LeaseExpired;
}

void Borrower::dropLease()
{
    m_held = std::min(m_held, m_inUse);
    m_leaseEnd = TimePoint{};
}

} // namespace sequoiapier
