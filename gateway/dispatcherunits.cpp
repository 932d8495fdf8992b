// The units of the dispatcher's requests: choosing the loan on which a team may start work, taking
// and returning the units of an attempt, and computing the demand that is reported to the lenders.
// Finding a slot costs O(loans of the service). Demand costs O(services, queues and waiting teams).
#include "gateway/dispatcher.h"
#include "peer/lendableresources.h"

#include <algorithm>

namespace sequoiapier {

// Finds a loan with a free unit: the team's own, that of a team that can start nothing here, or for
// urgent work that of any team. The team is charged for the unit in each case.
std::optional<LoanKey> Dispatcher::findSlot(const ServiceState &serviceState, std::string_view team,
                                            bool isUrgent, TimePoint now)
{
    const std::string resource = slotResource(serviceState.config.name);
    const LoanKey own{resource, std::string(team)};
    const Borrower *borrower = m_loans.find(own);
    if (borrower != nullptr && borrower->available(now) > 0)
        return own;
    return m_loans.findIdle(resource, now, [&](std::string_view other) {
        return !isUrgent && hasCeilingUnit(other, now)
            && std::any_of(serviceState.queues.begin(), serviceState.queues.end(),
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

bool Dispatcher::mayStart(const ServiceState &serviceState, std::string_view team, bool isUrgent,
                          TimePoint now)
{
    if (!findSlot(serviceState, team, isUrgent, now)) {
        m_loans.onDemandChanged({slotResource(serviceState.config.name), std::string(team)});
        return false;
    }
    if (hasCeilingUnit(team, now))
        return true;
    m_loans.onDemandChanged({ceilingResource(team), ""});
    return false;
}

AttemptUnits Dispatcher::takeUnits(const ServiceState &serviceState, const QueuedRequest &request,
                                   TimePoint now)
{
    AttemptUnits units{.team = request.team,
                       .slot = findSlot(serviceState, request.team, request.isUrgent, now)};
    m_loans.find(*units.slot)->tryAcquire(now);
    m_served[{units.slot->resource, units.team}].start(now);
    if (m_ceilings.contains(units.team)) {
        units.ceiling = LoanKey{ceilingResource(units.team), ""};
        m_loans.find(*units.ceiling)->tryAcquire(now);
        m_served[*units.ceiling].start(now);
    }
    return units;
}

void Dispatcher::applyUnitAction(HeldRequest &held, UnitAction action)
{
    const TimePoint now = BootClock::now();
    if (action == UnitAction::Return)
        releaseUnits(held.units, now);
    else if (action == UnitAction::ReturnAfterLongestWork)
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
            m_delayedReleases.push_back({due, **key});
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

void Dispatcher::releaseDelayed()
{
    const TimePoint now = BootClock::now();
    while (!m_delayedReleases.empty() && m_delayedReleases.front().due <= now) {
        release(m_delayedReleases.front().key, now);
        m_delayedReleases.pop_front();
    }
}

std::int64_t Dispatcher::demand(const LoanKey &key)
{
    // Units of this loan that other teams use are not part of its team's demand.
    std::int64_t units = m_served[key].units();
    const bool isSlot = isSlotResource(key.resource);
    for (const auto &[service, serviceState] : m_services) {
        if (isSlot && slotResource(service) != key.resource)
            continue;
        for (const auto &[name, queues] : serviceState.queues) {
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
