// Token bucket for each team.
#include "jobs/sharemeter.h"

#include <algorithm>

namespace sequoiapier::jobs {

bool ShareMeter::take(std::string_view name, std::uint32_t perSecond, TimePoint now)
{
    const double maxTokens
        = std::max(perSecond * std::chrono::duration<double>(m_options.burst).count(), 1.0);
    auto found = m_teams.find(name);
    if (found == m_teams.end())
        found = m_teams.emplace(name, Team{.tokens = maxTokens, .updatedAt = now}).first;
    Team &team = found->second;
    const double earned = perSecond * std::chrono::duration<double>(now - team.updatedAt).count();
    team.tokens = std::min(maxTokens, team.tokens + earned);
    team.updatedAt = now;
    if (team.tokens < 1)
        return false;
    team.tokens -= 1;
    return true;
}

} // namespace sequoiapier::jobs
