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

// Bounds of what is owed, units times turns.
constexpr double MaxOwed = 1;
constexpr double MaxOwedPart = 0.05; // of a group's part, if that is more
constexpr double OwedMemory = 4; // times what is made good at once
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

// Notes what the groups were served of all that was served, and adds what they are owed to their
// parts.
void correctParts(std::span<PlanGroup> groups, std::span<Part> parts)
{
    double served = 0;
    double ideal = 0;
    double owed = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        served += groups[i].served;
        ideal += parts[i].ideal;
        owed += groups[i].turn->rank;
    }
    for (std::size_t i = 0; i < groups.size() && ideal > 0; ++i) {
        ShareTurn &turn = *groups[i].turn;
        const double most = std::max(MaxOwed, parts[i].ideal * MaxOwedPart);
        const double missed = parts[i].ideal / ideal * served - groups[i].served;
        turn.owed
            = std::clamp(turn.owed + GroupGain * missed, -OwedMemory * most, OwedMemory * most);
        const double change = std::clamp(turn.rank - owed * parts[i].ideal / ideal, -most, most);
        parts[i].ideal = std::clamp(parts[i].ideal + change, 0.0, double(groups[i].wanted));
    }
}

// A group saves nothing up while there is enough for all.
void forgetOwed(std::span<PlanGroup> groups)
{
    for (PlanGroup &group : groups)
        *group.turn = {};
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
    const bool hasTurns = !groups.empty() && groups.front().turn != nullptr;
    if (hasTurns && capacity < wanted)
        correctParts(groups, parts);
    else if (hasTurns)
        forgetOwed(groups);
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
