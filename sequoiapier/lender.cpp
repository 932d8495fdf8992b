// The lender keeps one record per borrower. A borrower's exposure, the maximum number of units that
// it may use, is the maximum of the units in its last report and the amount granted in answer to
// it, because a borrower increases its loan only by the answer to its latest report. Units become
// free when the exposure falls, which is when the next report shows that a lower grant was
// accepted.
//
// Shares are computed for all borrowers at once, in O(n log n), at most once in planInterval times
// n, and stored in the records. The total exposure is updated with each change of a record. A
// report that computes no shares costs O(log n) for the look-up of its record. Outdated shares only
// delay the transfer of units: the bound on what may be lent uses the current records alone.
#include "sequoiapier/lender.h"

#include "sequoiapier/maxminshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::chrono::seconds DemandTimeConstant{30}; // of the exponential average of demand
// Weight of one unit of average demand in the division of surplus units.
constexpr double SurplusWeightPerUnit = 16;

double exponentialAverage(double average, std::int64_t wanted, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double gain = 1 - std::exp(-seconds / double(DemandTimeConstant.count()));
    return average + (double(wanted) - average) * gain;
}

} // namespace

Lender::Lender(Options options, TimePoint now)
    : m_options(std::move(options))
    , m_priorLoansEnd(now)
{
    if (m_options.priorCapacity == 0 || m_options.faults.forgetPriorLoans)
        return;
    const Duration longest
        = std::max(m_options.term, m_options.outageTermLead + m_options.outageTerm);
    const double marginFactor = 1 + m_options.clockRateMargin;
    m_priorLoansEnd
        += std::chrono::duration_cast<Duration>(longest * marginFactor) + m_options.longestWork;
    m_unaccounted = m_options.priorCapacity;
    if (!m_options.priorBorrowers)
        return;
    m_unreconciled.insert(m_options.priorBorrowers->begin(), m_options.priorBorrowers->end());
    if (m_unreconciled.empty())
        m_unaccounted = 0;
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
    if (m_options.outageTerm == Duration{} || !usesOutageTerm(now))
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
    const bool isNew = record.last.sequence == 0;
    if (isNew)
        record.plannedMicroseconds = report.servedMicroseconds;
    const Duration elapsed = isNew ? Duration{} : now - record.reportedAt;
    record.averageDemand = exponentialAverage(record.averageDemand, report.wanted, elapsed);
    record.reportedAt = now;
    m_exposure -= record.exposure();
    applyReport(record, report);
    m_exposure += record.exposure();
    plan(record, now);
    const std::int64_t before = record.exposure();
    const LoanGrant grant = makeGrant(record, now);
    m_exposure += record.exposure() - before;
    m_nextReclaim = std::min(m_nextReclaim, nextReclaim(record, now));
    return grant;
}

// Stores `report`. From then on, no grant older than the answer to `report` can increase the loan.
void Lender::applyReport(Record &record, const LoanReport &report)
{
    if (report.accepted == record.grant.sequence)
        record.loanEnd = record.grantEnd;
    record.last = report;
    record.grant = {};
    record.isLimited = false;
    if (report.epoch == m_options.epoch && !isReconciled(report.borrower))
        reconcile(report);
}

bool Lender::isReconciled(const MemberId &borrower) const
{
    return m_unaccounted == 0 || m_reconciled.contains(borrower);
}

// Subtracts the reported units from those of earlier lenders that are unaccounted for. The borrower
// now ignores grants of earlier lenders, and this lender has granted it no more than it held, so
// the units it holds are its part of the earlier loans.
void Lender::reconcile(const LoanReport &report)
{
    const std::int64_t units = std::max(report.held, report.inUse);
    m_unaccounted = std::max<std::int64_t>(0, m_unaccounted - units);
    m_reconciled.insert(report.borrower);
    if (m_unreconciled.erase(report.borrower) > 0 && m_unreconciled.empty())
        m_unaccounted = 0;
    if (m_unaccounted == 0)
        m_reconciled.clear();
}

TimePoint Lender::nextReclaim(const Record &record, TimePoint now) const
{
    return now < record.loanEnd ? record.loanEnd : record.loanEnd + m_options.longestWork;
}

bool Lender::isExpired(const Record &record, TimePoint now) const
{
    return now >= record.loanEnd && mayReclaim(now);
}

// Computes the share of each borrower, unless the last plan is recent enough. The record
// `reporting` is treated as leased, since its borrower is about to get a lease.
void Lender::plan(const Record &reporting, TimePoint now)
{
    if (now < m_planDue)
        return;
    m_planDue = now + m_options.planInterval * std::int64_t(m_records.size());
    advanceCounters(now);
    std::int64_t capacity = m_options.capacity - m_unaccounted;
    capacity -= planGroups(reporting, now, capacity);
    if (m_options.lendSurplus && capacity > 0)
        planSurplus(capacity);
}

void Lender::advanceCounters(TimePoint now)
{
    if (m_options.deficitPeriod <= Duration{})
        return;
    const bool isOver = now >= m_periodEnd;
    if (isOver)
        m_periodEnd = now + m_options.deficitPeriod;
    const double periods
        = double((now - m_plannedAt).count()) / double(m_options.deficitPeriod.count());
    m_plannedAt = now;
    for (auto &[borrower, record] : m_records) {
        record.counter.advance(periods);
        if (isOver) {
            record.counter.apply();
            record.groupCounter.apply();
        }
    }
    for (auto &[group, counter] : m_groupCounters) {
        if (isOver)
            counter.apply();
    }
}

// Returns what the borrower was served since the last plan, in units times periods of
// deficitPeriod, and marks it as counted.
double Lender::consumeServed(Record &record) const
{
    const std::int64_t served = record.last.servedMicroseconds - record.plannedMicroseconds;
    record.plannedMicroseconds = record.last.servedMicroseconds;
    return double(served) / double(m_options.deficitPeriod.count());
}

// Sets the shares by group and returns the units planned, including those of expired leases.
std::int64_t Lender::planGroups(const Record &reporting, TimePoint now, std::int64_t capacity)
{
    std::vector<PlanGroup> groups;
    std::vector<PlanMember> members;
    std::vector<Record *> records;
    std::map<std::string_view, std::size_t> indexes;
    const bool usesCounters = m_options.deficitPeriod > Duration{};
    std::int64_t expiredUnits = 0;
    for (auto &[borrower, record] : m_records) {
        record.share = 0;
        if (&record != &reporting && isExpired(record, now)) {
            expiredUnits += record.exposure();
            continue;
        }
        const std::string &name = record.last.group;
        const auto [found, isNew] = indexes.try_emplace(name, groups.size());
        const std::size_t index = name.empty() ? groups.size() : found->second;
        if (isNew || name.empty()) {
            DeficitCounter *counter = name.empty() ? &record.groupCounter : &m_groupCounters[name];
            groups.push_back({record.last.weight, usesCounters ? counter : nullptr});
        }
        if (usesCounters)
            groups[index].served += consumeServed(record);
        members.push_back({record.last.wanted, index, usesCounters ? &record.counter : nullptr});
        records.push_back(&record);
    }
    std::erase_if(m_groupCounters,
                  [&](const auto &entry) { return !indexes.contains(entry.first); });
    planShares(capacity - expiredUnits, groups, members);
    std::int64_t planned = expiredUnits;
    m_isContended = false;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i]->share = members[i].share;
        planned += members[i].share;
        m_isContended
            = m_isContended || (m_unaccounted == 0 && members[i].share < members[i].wanted);
    }
    return planned;
}

// Adds the `capacity` units that no one wants now to the shares, by recent average demand.
void Lender::planSurplus(std::int64_t capacity)
{
    std::vector<ShareDemand> demands;
    demands.reserve(m_records.size());
    for (const auto &[borrower, record] : m_records)
        demands.push_back(
            {capacity, std::uint32_t(1 + record.averageDemand * SurplusWeightPerUnit)});
    const std::vector<std::int64_t> surplus = maxMinShare(capacity, demands);
    std::size_t index = 0;
    for (auto &[borrower, record] : m_records)
        record.share += surplus[index++];
}

LoanGrant Lender::makeGrant(Record &record, TimePoint now)
{
    const LoanReport &report = record.last;
    const Duration term = leaseTerm(now);
    const std::int64_t ownUnits = std::max(report.held, report.inUse);
    const std::int64_t othersLent = lent() - record.exposure();
    const std::int64_t bound = m_options.capacity - othersLent;
    std::int64_t amount = std::min(record.share, std::max(bound, report.held));
    // The loan is left unchanged until the borrower is reconciled, so that its part of the loans of
    // earlier lenders stays known.
    if (!isReconciled(report.borrower))
        amount = report.held;
    LoanGrant grant{.resource = report.resource, .sequence = report.sequence};
    grant.epoch = m_options.epoch;
    grant.amount = std::max<std::int64_t>(0, amount);
    grant.isContended = m_isContended;
    grant.termMilliseconds = std::chrono::floor<std::chrono::milliseconds>(term).count();
    record.grant = grant;
    record.grantEnd = now + term;
    record.loanEnd = std::max(record.loanEnd, record.grantEnd);
    if (m_options.faults.reclaimUnreported && grant.amount < ownUnits) {
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
    if (m_unaccounted > 0 && now >= m_priorLoansEnd)
        m_unaccounted = 0;
    if (m_unaccounted == 0)
        m_reconciled.clear();
    if (now < m_nextReclaim)
        return;
    m_nextReclaim = TimePoint::max();
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        const bool isOver = now >= record.loanEnd + m_options.longestWork
            || (now >= record.loanEnd && record.exposure() == 0);
        if (isOver)
            m_exposure -= record.exposure();
        else
            m_nextReclaim = std::min(m_nextReclaim, nextReclaim(record, now));
        return isOver;
    });
}

void Lender::workEnded(const MemberId &borrower, std::int64_t remaining, TimePoint now)
{
    const auto found = m_records.find(borrower);
    if (found == m_records.end() || now < found->second.loanEnd || !mayReclaim(now))
        return;
    Record &record = found->second;
    m_exposure -= record.exposure();
    record.isLimited = true;
    record.limit = remaining;
    m_exposure += record.exposure();
    m_nextReclaim = std::min(m_nextReclaim, now);
}

} // namespace sequoiapier
