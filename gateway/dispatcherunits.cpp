// The units of the dispatcher's requests: which loan a team may start work on, what an attempt
// takes and gives back, and what is reported as wanted. A slot is looked for in O(loans of the
// service); demand is O(services, queues and teams waiting).
#include "gateway/dispatcher.h"
#include "peer/lendableresources.h"

#include <algorithm>

namespace sequoiapier {

// A loan with a free unit: the team's own, one of a team that can start nothing here, or for urgent
// work any; the team is charged for it all the same.
std::optional<LoanKey> Dispatcher::findSlot(const ServiceLane &lane, std::string_view team,
                                            bool isUrgent, TimePoint now)
{
    const std::string resource = slotResource(lane.config.name);
    const LoanKey own{resource, std::string(team)};
    const Borrower *borrower = m_loans.find(own);
    if (borrower != nullptr && borrower->available(now) > 0)
        return own;
    return m_loans.findIdle(resource, now, [&](std::string_view other) {
        return !isUrgent && hasCeilingUnit(other, now)
            && std::any_of(lane.queues.begin(), lane.queues.end(),
                           [&](const auto &queue) { return queue.second.count(other) > 0; });
    });
}

bool Dispatcher::hasCeilingUnit(std::string_view team, TimePoint now)
{
    if (!m_ceilings.contains(team))
        return true;
    const Borrower *borrower = m_loans.find({ceilingResource(team), ""});
    return borrower != nullptr && borrower->available(now) > 0;
}

bool Dispatcher::mayStart(const ServiceLane &lane, std::string_view team, bool isUrgent,
                          TimePoint now)
{
    if (!findSlot(lane, team, isUrgent, now)) {
        m_loans.onDemandChanged({slotResource(lane.config.name), std::string(team)});
        return false;
    }
    if (hasCeilingUnit(team, now))
        return true;
    m_loans.onDemandChanged({ceilingResource(team), ""});
    return false;
}

AttemptUnits Dispatcher::takeUnits(const ServiceLane &lane, const QueuedRequest &request,
                                   TimePoint now)
{
    AttemptUnits units{.team = request.team,
                       .slot = findSlot(lane, request.team, request.isUrgent, now)};
    m_loans.find(*units.slot)->tryAcquire(now);
    m_served[{units.slot->resource, units.team}].start(now);
    if (m_ceilings.contains(units.team)) {
        units.ceiling = LoanKey{ceilingResource(units.team), ""};
        m_loans.find(*units.ceiling)->tryAcquire(now);
        m_served[*units.ceiling].start(now);
    }
    return units;
}

void Dispatcher::settleUnits(HeldRequest &held, UnitUse use)
{
    const TimePoint now = BootClock::now();
    if (use == UnitUse::Return)
        releaseUnits(held.units, now);
    else if (use == UnitUse::ReturnAtLongest)
        releaseUnits(held.units, now + m_options.longestWork);
}

void Dispatcher::releaseUnits(AttemptUnits &units, TimePoint due)
{
    const TimePoint now = BootClock::now();
    if (units.slot)
        m_served[{units.slot->resource, units.team}].end(now);
    if (units.ceiling)
        m_served[*units.ceiling].end(now);
    for (std::optional<LoanKey> *key : {&units.slot, &units.ceiling}) {
        if (!*key)
            continue;
        if (due <= now)
            release(**key, now);
        else
            m_lateReleases.push_back({due, **key});
        key->reset();
    }
}

void Dispatcher::release(const LoanKey &key, TimePoint now)
{
    Borrower *borrower = m_loans.find(key);
    if (borrower == nullptr)
        return;
    borrower->release(now);
    if (borrower->isContended())
        m_loans.onDemandChanged(key);
}

void Dispatcher::releaseLate()
{
    const TimePoint now = BootClock::now();
    while (!m_lateReleases.empty() && m_lateReleases.front().due <= now) {
        release(m_lateReleases.front().key, now);
        m_lateReleases.pop_front();
    }
}

std::int64_t Dispatcher::demand(const LoanKey &key)
{
    // Units that other teams use on this loan are no demand of its team.
    std::int64_t units = m_served[key].units();
    const bool isSlot = isSlotResource(key.resource);
    for (const auto &[service, lane] : m_lanes) {
        if (isSlot && slotResource(service) != key.resource)
            continue;
        for (const auto &[name, queues] : lane.queues) {
            for (const TeamQueues::Waiting &waiting : queues.waiting()) {
                const bool counts = isSlot ? waiting.team == key.team
                                           : ceilingResource(waiting.team) == key.resource;
                units += counts ? std::int64_t(waiting.count) : 0;
            }
        }
    }
    return units;
}

} // namespace sequoiapier
