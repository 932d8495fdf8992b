#include "fleet/hostlisting.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapier {

void HostListing::replace(std::span<const FleetHost> hosts)
{
    std::set<std::string_view> names;
    for (const FleetHost &host : hosts)
        names.insert(host.name);
    std::vector<FleetHost> next(hosts.begin(), hosts.end());
    for (std::size_t i = 0; i < m_listed; ++i) {
        if (names.contains(m_hosts[i].name))
            continue;
        next.push_back(std::move(m_hosts[i]));
        next.back().state = FleetHostState::Down;
    }
    m_listed = hosts.size();
    ++m_reads;
    m_hosts = std::move(next);
}

} // namespace sequoiapier
