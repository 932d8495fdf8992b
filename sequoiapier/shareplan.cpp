// Both levels work out each one's part as a real number, give its whole units, and give the units
// that are left one each by the fraction, and by what is owed. What a group is owed is added to its
// part, so that it can pass a whole unit; this makes good what rounding and the time in which units
// move take from it. Both change only once a turn, so that units don't move at every plan.
#include "sequoiapier/shareplan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace sequoiapier {

namespace {

constexpr double MaxOwed = 1; // units times turns
// Rank of one that has a unit for its fraction already. Demand changes with every request; without
// this, units move with it.
constexpr double KeepRank = 0.5;
// Part of what a group lacked in a turn that is made good in the next one. All of it overshoots, as
// units move later than they are planned.
constexpr double GroupGain = 0.5;
constexpr double Rounding = 1e-9; // of the arithmetic

struct Part
{
    double ideal = 0;
    ShareTurn *turn = nullptr;
    std::int64_t *share = nullptr;
    std::int64_t most = 0;

    double rank() const
    {
        const double fraction = ideal - double(*share);
        if (turn == nullptr)
            return fraction;
        return fraction + turn->rank + (turn->isRoundedUp ? KeepRank : 0);
    }
};

// Adds `change` units, one each, to those that come first in `order`.
void addOneEach(std::int64_t change, std::span<const std::size_t> order, std::span<Part> parts)
{
    for (const std::size_t index : order) {
        if (change <= 0)
            return;
        if (*parts[index].share < parts[index].most) {
            ++*parts[index].share;
            --change;
        }
    }
}

// Gives whole units that sum up to `total`, close to the parts, which do so but for their bounds.
void round(std::int64_t total, std::span<Part> parts)
{
    std::vector<std::size_t> order(parts.size());
    std::iota(order.begin(), order.end(), 0);
    for (Part &part : parts) {
        *part.share = std::int64_t(std::floor(part.ideal + Rounding));
        total -= *part.share;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return parts[a].rank() > parts[b].rank();
    });
    while (total < 0) {
        for (auto index = order.rbegin(); index != order.rend() && total < 0; ++index) {
            const std::int64_t taken = *parts[*index].share > 0 ? 1 : 0;
            *parts[*index].share -= taken;
            total += taken;
        }
    }
    addOneEach(total, order, parts);
    for (const Part &part : parts) {
        if (part.turn == nullptr)
            continue;
        part.turn->rate = part.ideal - double(*part.share);
        part.turn->isRoundedUp = part.turn->rate < -Rounding;
    }
}

// The units for a weight of one at which the groups that want more take all that is left.
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

// Adds what the groups are owed to their parts, and notes what they had of what was in use.
void correctParts(std::span<PlanGroup> groups, std::span<Part> parts)
{
    double inUse = 0;
    double ideal = 0;
    double owed = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        inUse += double(groups[i].inUse);
        ideal += parts[i].ideal;
        owed += groups[i].turn->rank;
    }
    const double usedPart = ideal > 0 ? inUse / ideal : 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        ShareTurn &turn = *groups[i].turn;
        turn.rate = (parts[i].ideal * usedPart - double(groups[i].inUse)) * GroupGain;
        const double change = turn.rank - owed / double(groups.size());
        parts[i].ideal = std::clamp(parts[i].ideal + change, 0.0, double(groups[i].wanted));
    }
}

void shareAmongGroups(std::int64_t capacity, std::span<PlanGroup> groups)
{
    const double level = commonLevel(capacity, groups);
    std::int64_t wanted = 0;
    std::vector<Part> parts;
    parts.reserve(groups.size());
    for (PlanGroup &group : groups) {
        wanted += group.wanted;
        const double ideal
            = std::min(double(group.wanted), level * double(std::max(1U, group.weight)));
        parts.push_back({.ideal = ideal, .share = &group.share, .most = group.wanted});
    }
    if (capacity < wanted && !groups.empty() && groups.front().turn != nullptr)
        correctParts(groups, parts);
    round(std::min(capacity, wanted), parts);
}

} // namespace

void ShareTurn::advance(double turns)
{
    owed = std::clamp(owed + rate * turns, -MaxOwed, MaxOwed);
    if (std::abs(rate) <= Rounding)
        owed = 0;
}

void planShares(std::int64_t capacity, std::span<PlanGroup> groups, std::span<PlanMember> members)
{
    std::vector<std::vector<Part>> parts(groups.size());
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
        parts[member.group].push_back({ideal, member.turn, &member.share, member.wanted});
    }
    for (std::size_t i = 0; i < groups.size(); ++i)
        round(groups[i].share, parts[i]);
}

} // namespace sequoiapier
