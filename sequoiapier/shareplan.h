// Fair shares of a bounded number of units among groups of borrowers, on average over time.
//
//   std::vector<PlanGroup> groups{{.weight = 2}, {.weight = 1}};
//   std::vector<PlanMember> members{{.wanted = 4, .group = 0}, {.wanted = 9, .group = 1}};
//   planShares(capacity, groups, members);
//
// Groups share the capacity by weighted max-min fairness of the summed demand of their members. A
// group's units are divided among its members in proportion to their demand. Units are whole. With
// a DeficitCounter for each group and member, a group that was served less than its fair part of
// everything served gets more units afterwards, and the units that rounding leaves over go to the
// members that got less than their part so far. Without counters, the same members get them each
// time. O(n log n) time, O(n) memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace sequoiapier {

// Accumulates the difference between the exact share of one group or member and what it got, as in
// deficit round robin. The caller divides time into periods (Lender::Options::deficitPeriod).
struct DeficitCounter
{
    double rate = 0; // exact share less the whole units, by the last plan; units
    double deficit = 0; // units times periods: rate summed over time, or the group's shortfall
    double applied = 0; // `deficit` at the start of the period, which plans take into account
    bool isRoundedUp = false; // whether the last plan gave a unit for the fraction

    // Adds the time since the last plan, in periods. The deficit stays within one unit.
    void advance(double periods);
    // Starts a new period.
    void apply() { applied = deficit; }
};

struct PlanGroup
{
    std::uint32_t weight = 1; // 0 counts as 1
    DeficitCounter *counter = nullptr; // set for all groups or for none
    double served = 0; // use by its members since the last plan; units times periods
    std::int64_t wanted = 0; // summed demand of its members in units, set by planShares()
    std::int64_t share = 0; // units, set by planShares()
};

struct PlanMember
{
    std::int64_t wanted = 0; // units; negative counts as 0
    std::size_t group = 0; // index of its group
    DeficitCounter *counter = nullptr;
    std::int64_t share = 0; // units, set by planShares()
};

// Sets the shares of all groups and members, and updates their counters.
void planShares(std::int64_t capacity, std::span<PlanGroup> groups, std::span<PlanMember> members);

} // namespace sequoiapier
