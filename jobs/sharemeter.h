// ShareMeter: tells which jobs of a team are within the team's share, in jobs per second.
//
//   if (!meter.take(team, config.share, now))
//       ... // beyond the share: it waits behind the jobs within the shares of all teams
//
// When one team sends many times its usual load while the pool is full, an order by objectives
// alone would make the jobs of all teams late. A team can save up its unused share for up to
// `burst`, so that a steady flow at its share passes completely although it arrives unevenly. O(1).
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sequoiapier::jobs {

class ShareMeter
{
public:
    struct Options
    {
        // One second, since the share is a rate per second.
        Duration burst = std::chrono::milliseconds(1'000);
    };

    explicit ShareMeter(Options options)
        : m_options(options)
    { }

    // Takes one job from the team's share of `perSecond`; returns false if the share is used up.
    bool take(std::string_view team, std::uint32_t perSecond, TimePoint now);

private:
    struct Team
    {
        double tokens = 0; // Jobs that may arrive now.
        TimePoint updatedAt;
    };

    Options m_options;
    std::map<std::string, Team, std::less<>> m_teams;
};

} // namespace sequoiapier::jobs
