// TeamDemand: turns team shares into borrowers' weights.
//
//   report.weight = demand.weight(report, share);
//
// A team's callers may arrive at one gateway or at all. Each gateway borrows for each team apart;
// its weight is the team's share times its part of the team's demand, so that the weights of a team
// add up to its share wherever its callers are. Memory: one entry a borrower that reported within
// EntryLifetime.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/loanreport.h"

#include <map>
#include <string>

namespace sequoiapier {

class TeamDemand
{
public:
    static constexpr Duration EntryLifetime = std::chrono::seconds(5);
    static constexpr std::uint32_t WeightScale = 1'000; // weight of one unit of share

    // Takes in the demand of `report` and returns the weight for it, at least 1. O(gateways).
    std::uint32_t weight(const LoanReport &report, std::uint32_t share, TimePoint now);

private:
    struct Demand
    {
        std::int64_t wanted = 0;
        TimePoint expiry;
    };
    using Borrowers = std::map<std::string, Demand, std::less<>>;

    std::map<std::string, Borrowers, std::less<>> m_teams; // borrowers by team
};

} // namespace sequoiapier
