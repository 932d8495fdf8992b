// Groups and members are planned alike: compute each exact share as a real number, allocate its
// whole units, and allocate the remaining units one each in the order of fraction plus deficit. The
// deficit of a group is added to its exact share instead, so that the correction can exceed one
// unit; it compensates for rounding and for the delay with which units move. Deficits take effect
// once per period, so that units don't move at every plan. O(n log n).
#include "sequoiapier/shareplan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace sequoiapier {

namespace {

// Bounds of deficits, in units times periods. The correction of a group's exact share is bounded by
// MaxDeficit or MaxDeficitFraction times that share, whichever is greater, and the group's deficit
// by DeficitCapFactor times the bound of its correction. A member's deficit is bounded by
// MaxDeficit.
constexpr double MaxDeficit = 1;
constexpr double MaxDeficitFraction = 0.05;
constexpr double DeficitCapFactor = 4;
// Hysteresis, in units: priority of a member that was rounded up by the last plan. Demand changes
// with every request, and units would move with it otherwise.
constexpr double RoundedUpPriority = 0.5;
// Fraction of a group's shortfall in a period that is made good in the next one. Making good all of
// it overshoots, because units move later than they are planned.
constexpr double ShortfallGain = 0.5;
constexpr double Tolerance = 1e-9; // of floating-point arithmetic, in units

// The exact and the whole-unit share of one group or member.
struct Allocation
{
    double ideal = 0; // the exact share, units
    DeficitCounter *counter = nullptr;
    std::int64_t *share = nullptr;
    std::int64_t limit = 0;

    double priority() const
    {
        const double fraction = ideal - double(*share);
        if (counter == nullptr)
            return fraction;
        return fraction + counter->applied + (counter->isRoundedUp ? RoundedUpPriority : 0);
    }
};

// Adds one unit to each of the first `count` allocations in `order` that are below their limit.
void addOneEach(std::int64_t count, std::span<const std::size_t> order,
                std::span<Allocation> allocations)
{
    for (const std::size_t index : order) {
        if (count <= 0)
            return;
        if (*allocations[index].share < allocations[index].limit) {
            ++*allocations[index].share;
            --count;
        }
    }
}

// Allocates whole units that sum up to `total`, close to the exact shares. These sum up to `total`
// too, except where their bounds prevent it.
void roundToUnits(std::int64_t total, std::span<Allocation> allocations)
{
    std::vector<std::size_t> order(allocations.size());
    std::iota(order.begin(), order.end(), 0);
    for (Allocation &allocation : allocations) {
        *allocation.share = std::int64_t(std::floor(allocation.ideal + Tolerance));
        total -= *allocation.share;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return allocations[a].priority() > allocations[b].priority();
    });
    while (total < 0) {
        for (auto index = order.rbegin(); index != order.rend() && total < 0; ++index) {
            const std::int64_t taken = *allocations[*index].share > 0 ? 1 : 0;
            *allocations[*index].share -= taken;
            total += taken;
        }
    }
    addOneEach(total, order, allocations);
    for (const Allocation &allocation : allocations) {
        if (allocation.counter == nullptr)
            continue;
        allocation.counter->rate = allocation.ideal - double(*allocation.share);
        allocation.counter->isRoundedUp = allocation.counter->rate < -Tolerance;
    }
}

// The water level, in units per weight of one, at which the groups with unmet demand use all units
// left by the others; HUGE_VAL if the capacity meets all demand.
double commonLevel(std::int64_t capacity, std::span<const PlanGroup> groups)
{
    std::vector<const PlanGroup *> order;
    double weights = 0;
    for (const PlanGroup &group : groups) {
        order.push_back(&group);
        weights += std::max(1U, group.weight);
    }
    const auto levelOf
        = [](const PlanGroup &group) { return double(group.wanted) / std::max(1U, group.weight); };
    std::sort(order.begin(), order.end(),
              [&](const PlanGroup *a, const PlanGroup *b) { return levelOf(*a) < levelOf(*b); });
    auto left = double(capacity);
    for (const PlanGroup *group : order) {
        if (levelOf(*group) * weights > left)
            return left / weights;
        left -= double(group->wanted);
        weights -= std::max(1U, group->weight);
    }
    return HUGE_VAL;
}

// Updates the groups' deficits by what they were served of the total, and adds the deficits applied
// in this period to the exact shares.
void applyDeficits(std::span<PlanGroup> groups, std::span<Allocation> allocations)
{
    double served = 0;
    double ideal = 0;
    double totalApplied = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        served += groups[i].served;
        ideal += allocations[i].ideal;
        totalApplied += groups[i].counter->applied;
    }
    for (std::size_t i = 0; i < groups.size() && ideal > 0; ++i) {
        DeficitCounter &counter = *groups[i].counter;
        const double maxCorrection
            = std::max(MaxDeficit, allocations[i].ideal * MaxDeficitFraction);
        const double shortfall = allocations[i].ideal / ideal * served - groups[i].served;
        counter.deficit
            = std::clamp(counter.deficit + ShortfallGain * shortfall,
                         -DeficitCapFactor * maxCorrection, DeficitCapFactor * maxCorrection);
        const double correction
            = std::clamp(counter.applied - totalApplied * allocations[i].ideal / ideal,
                         -maxCorrection, maxCorrection);
        allocations[i].ideal
            = std::clamp(allocations[i].ideal + correction, 0.0, double(groups[i].wanted));
    }
}

// Resets the deficits: a group accumulates none while the capacity meets all demand.
void resetDeficits(std::span<PlanGroup> groups)
{
    for (PlanGroup &group : groups)
        *group.counter = {};
}

void shareAmongGroups(std::int64_t capacity, std::span<PlanGroup> groups)
{
    const double level = commonLevel(capacity, groups);
    std::int64_t wanted = 0;
    std::vector<Allocation> allocations;
    allocations.reserve(groups.size());
    for (PlanGroup &group : groups) {
        wanted += group.wanted;
        const double ideal
            = std::min(double(group.wanted), level * double(std::max(1U, group.weight)));
        allocations.push_back({.ideal = ideal, .share = &group.share, .limit = group.wanted});
    }
    const bool hasCounters = !groups.empty() && groups.front().counter != nullptr;
    if (hasCounters && capacity < wanted)
        applyDeficits(groups, allocations);
    else if (hasCounters)
        resetDeficits(groups);
    roundToUnits(std::min(capacity, wanted), allocations);
}

} // namespace

void DeficitCounter::advance(double periods)
{
    deficit = std::clamp(deficit + rate * periods, -MaxDeficit, MaxDeficit);
    if (std::abs(rate) <= Tolerance)
        deficit = 0;
}

void planShares(std::int64_t capacity, std::span<PlanGroup> groups, std::span<PlanMember> members)
{
    std::vector<std::vector<Allocation>> allocations(groups.size());
    for (PlanMember &member : members) {
        member.wanted = std::max<std::int64_t>(0, member.wanted);
        groups[member.group].wanted += member.wanted;
    }
    shareAmongGroups(std::max<std::int64_t>(0, capacity), groups);
    for (PlanMember &member : members) {
        const PlanGroup &group = groups[member.group];
        const double ideal = group.wanted == 0
            ? 0
            : double(group.share) * double(member.wanted) / double(group.wanted);
        allocations[member.group].push_back({ideal, member.counter, &member.share, member.wanted});
    }
    for (std::size_t i = 0; i < groups.size(); ++i)
        roundToUnits(groups[i].share, allocations[i]);
}

} // namespace sequoiapier
