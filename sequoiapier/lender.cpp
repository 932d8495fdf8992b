// The lender keeps one record a borrower. The most that a borrower may use is the greatest of what
// its last report says and of what the answer to that report grants, since a borrower raises what
// it holds only by the answer to its latest report. Units become free when this figure falls, which
// is when the next report shows that a lower grant was taken.
//
// Each report recomputes the shares, O(n log n) for n borrowers. At n = 64 this is a few
// microseconds.
#include "sequoiapier/lender.h"

#include "sequoiapier/maxminshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::chrono::seconds DemandMemory{30};
// Weight of one unit of average demand when surplus is shared out.
constexpr double SurplusScale = 16;

double averaged(double average, std::int64_t wanted, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double part = 1 - std::exp(-seconds / double(DemandMemory.count()));
    return average + (double(wanted) - average) * part;
}

} // namespace

Lender::Lender(Options options, TimePoint now)
    : m_options(std::move(options))
    , m_priorEnd(now)
{
    if (m_options.priorCapacity == 0 || m_options.faults.forgetPriorLoans)
        return;
    const Duration longest = std::max(m_options.term, m_options.suspicion + m_options.outageTerm);
    const double stretch = 1 + m_options.clockRateMargin;
    m_priorEnd += std::chrono::duration_cast<Duration>(longest * stretch) + m_options.longestWork;
    m_unaccounted = m_options.priorCapacity;
    if (!m_options.priorBorrowers)
        return;
    m_awaited.insert(m_options.priorBorrowers->begin(), m_options.priorBorrowers->end());
    if (m_awaited.empty())
        m_unaccounted = 0;
}

std::int64_t Lender::lent() const
{
    std::int64_t units = m_unaccounted;
    for (const auto &[borrower, record] : m_records)
        units += record.exposure();
    return units;
}

std::int64_t Lender::wanted() const
{
    std::int64_t units = 0;
    for (const auto &[borrower, record] : m_records)
        units += record.last.wanted;
    return units;
}

Duration Lender::leaseTerm(TimePoint now) const
{
    if (m_options.outageTerm == Duration{} || !isStanding(now))
        return isOwner(now) ? m_options.term : Duration{};
    return m_ownedUntil + m_options.outageTerm - now;
}

ResultCode Lender::check(const LoanReport &report, TimePoint now) const
{
    if (report.resource != m_options.resource)
        return ResultCode::NotFound;
    if (m_isSuperseded)
        return ResultCode::EpochStale;
    if (leaseTerm(now) <= Duration{})
        return ResultCode::NotOwner;
    const auto found = m_records.find(report.borrower);
    if (found == m_records.end() && m_records.size() >= m_options.maxBorrowers)
        return ResultCode::CapacityExceeded;
    if (found != m_records.end() && report.sequence < found->second.last.sequence)
        return ResultCode::EpochStale;
    return ResultCode::Ok;
}

LoanGrant Lender::report(const LoanReport &report, TimePoint now)
{
    if (report.resource == m_options.resource && report.epoch > m_options.epoch)
        m_isSuperseded = !m_options.faults.ignoreEpoch;
    tick(now);
    LoanGrant refusal{.resource = report.resource, .sequence = report.sequence};
    refusal.epoch = m_options.epoch;
    refusal.code = check(report, now);
    if (refusal.code != ResultCode::Ok)
        return refusal;
    Record &record = m_records[report.borrower];
    if (report.sequence == record.last.sequence)
        return record.grant;
    const Duration elapsed = record.last.sequence != 0 ? now - record.reportedAt : Duration{};
    record.averageDemand = averaged(record.averageDemand, report.wanted, elapsed);
    record.reportedAt = now;
    takeIn(record, report);
    return makeGrant(record, now);
}

// From here on no grant older than the one that will answer `report` can raise what is held.
void Lender::takeIn(Record &record, const LoanReport &report)
{
    if (report.accepted == record.grant.sequence)
        record.loanEnd = record.grantEnd;
    record.last = report;
    record.grant = {};
    record.isLimited = false;
    if (report.epoch == m_options.epoch && !isAdopted(report.borrower))
        adopt(report);
}

bool Lender::isAdopted(const MemberId &borrower) const
{
    return m_unaccounted == 0 || m_adopted.contains(borrower);
}

// The borrower ignores grants of earlier lenders by now, and this one has granted it no more than
// it held: what it holds is its part of the earlier loans.
void Lender::adopt(const LoanReport &report)
{
    const std::int64_t units = std::max(report.held, report.inUse);
    m_unaccounted = std::max<std::int64_t>(0, m_unaccounted - units);
    m_adopted.insert(report.borrower);
    if (m_awaited.erase(report.borrower) > 0 && m_awaited.empty())
        m_unaccounted = 0;
    if (m_unaccounted == 0)
        m_adopted.clear();
}

std::int64_t Lender::shareOf(const Record &record, TimePoint now) const
{
    std::int64_t capacity = m_options.capacity - m_unaccounted;
    std::vector<ShareDemand> demands;
    std::vector<ShareDemand> surplusDemands;
    std::size_t index = 0;
    for (const auto &[borrower, other] : m_records) {
        if (&other == &record)
            index = demands.size();
        else if (now >= other.loanEnd && mayReclaim(now)) {
            capacity -= other.exposure();
            continue;
        }
        demands.push_back({other.last.wanted, other.last.weight});
        surplusDemands.push_back(
            {m_options.capacity, std::uint32_t(1 + other.averageDemand * SurplusScale)});
    }
    const std::vector<std::int64_t> shares = maxMinShare(capacity, demands);
    if (!m_options.lendSurplus)
        return shares[index];
    for (const std::int64_t share : shares)
        capacity -= share;
    return shares[index] + maxMinShare(capacity, surplusDemands)[index];
}

LoanGrant Lender::makeGrant(Record &record, TimePoint now)
{
    const LoanReport &report = record.last;
    const Duration term = leaseTerm(now);
    const std::int64_t ownUnits = std::max(report.held, report.inUse);
    const std::int64_t othersLent = lent() - record.exposure();
    const std::int64_t bound = m_options.capacity - othersLent;
    std::int64_t amount = std::min(shareOf(record, now), std::max(bound, report.held));
    // Until it is adopted its loan stays as it is, so that its part of the old loans stays known.
    if (!isAdopted(report.borrower))
        amount = report.held;
    LoanGrant grant{.resource = report.resource, .sequence = report.sequence};
    grant.epoch = m_options.epoch;
    grant.amount = std::max<std::int64_t>(0, amount);
    grant.termMilliseconds = std::chrono::floor<std::chrono::milliseconds>(term).count();
    record.grant = grant;
    record.grantEnd = now + term;
    record.loanEnd = std::max(record.loanEnd, record.grantEnd);
    if (m_options.faults.reclaimUnshown && grant.amount < ownUnits) {
        record.isLimited = true;
        record.limit = grant.amount;
    }
    return grant;
}

bool Lender::mayReclaim(TimePoint now) const
{
    return isOwner(now) || m_options.faults.reclaimWhenNotOwner;
}

void Lender::tick(TimePoint now)
{
    if (!mayReclaim(now))
        return;
    if (m_unaccounted > 0 && now >= m_priorEnd)
        m_unaccounted = 0;
    if (m_unaccounted == 0)
        m_adopted.clear();
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        return now >= record.loanEnd + m_options.longestWork
            || (now >= record.loanEnd && record.exposure() == 0);
    });
}

void Lender::workEnded(const MemberId &borrower, std::int64_t remaining, TimePoint now)
{
    const auto found = m_records.find(borrower);
    if (found == m_records.end() || now < found->second.loanEnd || !mayReclaim(now))
        return;
    found->second.isLimited = true;
    found->second.limit = remaining;
}

} // namespace sequoiapier
