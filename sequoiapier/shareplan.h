// Shares of a bounded number of units among groups of borrowers, held to over time.
//
//   std::vector<PlanGroup> groups{{.weight = 2}, {.weight = 1}};
//   std::vector<PlanMember> members{{.wanted = 4, .group = 0}, {.wanted = 9, .group = 1}};
//   planShares(capacity, groups, members);
//
// Groups share the capacity by weighted max-min of what their members want together. A group's
// units go to its members in proportion to what each wants. Units are whole. With a ShareTurn for
// each, a group that was served less than its part of all that was served is given more after that,
// and the units that rounding leaves among members go to those that were given less than their part
// so far. Without, the same ones get them each time. O(n log n) time, O(n) memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace sequoiapier {

// What one group or member is owed for the time in which it had less, or more, than its part.
struct ShareTurn
{
    double rate = 0; // its part less what it had, by the last plan, units
    double owed = 0; // the sum of rate over time, in units times turns
    double rank = 0; // `owed` at the last change of turns
    bool isRoundedUp = false; // by the last plan

    // Adds the time since the last plan, as a part of a turn. What is owed stays within one unit.
    void advance(double turns);
    void change() { rank = owed; }
};

struct PlanGroup
{
    std::uint32_t weight = 1; // 0 counts as 1
    ShareTurn *turn = nullptr;
    double served = 0; // units times turns that its members used since the last plan
    std::int64_t wanted = 0; // set by planShares(): of its members
    std::int64_t share = 0; // set by planShares()
};

struct PlanMember
{
    std::int64_t wanted = 0; // units; negative counts as 0
    std::size_t group = 0;
    ShareTurn *turn = nullptr;
    std::int64_t share = 0; // set by planShares()
};

void planShares(std::int64_t capacity, std::span<PlanGroup> groups, std::span<PlanMember> members);

} // namespace sequoiapier
