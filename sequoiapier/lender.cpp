// The lender keeps one record a borrower. The most that a borrower may use is the greatest of what
// its last report says and of what the answer to that report grants, since a borrower raises what
// it holds only by the answer to its latest report. Units become free when this figure falls, which
// is when the next report shows that a lower grant was taken.
//
// Shares are worked out for all borrowers at once, O(n log n), at most once in planInterval times
// n, and kept in the records. What is lent in all is kept up with each change of a record. A report
// that works nothing out costs O(log n): the look-up of its record. A share that is behind the
// reports moves units later; what may be lent is bounded by the records of that moment alone.
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
    const bool isNew = record.last.sequence == 0;
    if (isNew)
        record.countedMicroseconds = report.servedMicroseconds;
    const Duration elapsed = isNew ? Duration{} : now - record.reportedAt;
    record.averageDemand = averaged(record.averageDemand, report.wanted, elapsed);
    record.reportedAt = now;
    m_exposure -= record.exposure();
    takeIn(record, report);
    m_exposure += record.exposure();
    plan(record, now);
    const std::int64_t before = record.exposure();
    const LoanGrant grant = makeGrant(record, now);
    m_exposure += record.exposure() - before;
    m_nextReclaim = std::min(m_nextReclaim, nextReclaim(record, now));
    return grant;
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

TimePoint Lender::nextReclaim(const Record &record, TimePoint now) const
{
    return now < record.loanEnd ? record.loanEnd : record.loanEnd + m_options.longestWork;
}

bool Lender::isLapsed(const Record &record, TimePoint now) const
{
    return now >= record.loanEnd && mayReclaim(now);
}

// Works out what each borrower is to hold. `reporting` is about to get a lease.
void Lender::plan(const Record &reporting, TimePoint now)
{
    if (now < m_planDue)
        return;
    m_planDue = now + m_options.planInterval * std::int64_t(m_records.size());
    advanceTurns(now);
    std::int64_t capacity = m_options.capacity - m_unaccounted;
    capacity -= planGroups(reporting, now, capacity);
    if (m_options.lendSurplus && capacity > 0)
        planSurplus(capacity);
}

void Lender::advanceTurns(TimePoint now)
{
    if (m_options.turnLength <= Duration{})
        return;
    const bool isOver = now >= m_turnEnd;
    if (isOver)
        m_turnEnd = now + m_options.turnLength;
    const double turns = double((now - m_plannedAt).count()) / double(m_options.turnLength.count());
    m_plannedAt = now;
    for (auto &[borrower, record] : m_records) {
        record.turn.advance(turns);
        if (isOver) {
            record.turn.change();
            record.groupTurn.change();
        }
    }
    for (auto &[group, turn] : m_groupTurns) {
        if (isOver)
            turn.change();
    }
}

// Units times turns that the borrower was served since the last plan.
double Lender::takeServed(Record &record) const
{
    const std::int64_t served = record.last.servedMicroseconds - record.countedMicroseconds;
    record.countedMicroseconds = record.last.servedMicroseconds;
    return double(served) / double(m_options.turnLength.count());
}

// Returns the units planned, with those of lapsed leases.
std::int64_t Lender::planGroups(const Record &reporting, TimePoint now, std::int64_t capacity)
{
    std::vector<PlanGroup> groups;
    std::vector<PlanMember> members;
    std::vector<Record *> records;
    std::map<std::string_view, std::size_t> indexes;
    const bool takesTurns = m_options.turnLength > Duration{};
    std::int64_t lapsed = 0;
    for (auto &[borrower, record] : m_records) {
        record.share = 0;
        if (&record != &reporting && isLapsed(record, now)) {
            lapsed += record.exposure();
            continue;
        }
        const std::string &name = record.last.group;
        const auto [found, isNew] = indexes.try_emplace(name, groups.size());
        const std::size_t index = name.empty() ? groups.size() : found->second;
        if (isNew || name.empty()) {
            ShareTurn *turn = name.empty() ? &record.groupTurn : &m_groupTurns[name];
            groups.push_back({record.last.weight, takesTurns ? turn : nullptr});
        }
        if (takesTurns)
            groups[index].served += takeServed(record);
        members.push_back({record.last.wanted, index, takesTurns ? &record.turn : nullptr});
        records.push_back(&record);
    }
    std::erase_if(m_groupTurns, [&](const auto &entry) { return !indexes.contains(entry.first); });
    planShares(capacity - lapsed, groups, members);
    std::int64_t planned = lapsed;
    m_isContended = false;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i]->share = members[i].share;
        planned += members[i].share;
        m_isContended
            = m_isContended || (m_unaccounted == 0 && members[i].share < members[i].wanted);
    }
    return planned;
}

// Units that no one wants now go to those that wanted most lately.
void Lender::planSurplus(std::int64_t capacity)
{
    std::vector<ShareDemand> demands;
    demands.reserve(m_records.size());
    for (const auto &[borrower, record] : m_records)
        demands.push_back({capacity, std::uint32_t(1 + record.averageDemand * SurplusScale)});
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
    // Until it is adopted its loan stays as it is, so that its part of the old loans stays known.
    if (!isAdopted(report.borrower))
        amount = report.held;
    LoanGrant grant{.resource = report.resource, .sequence = report.sequence};
    grant.epoch = m_options.epoch;
    grant.amount = std::max<std::int64_t>(0, amount);
    grant.isContended = m_isContended;
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
