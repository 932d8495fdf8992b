// HostListing: the fleet's hosts by the lists that were read.
//
//   HostListing listing;
//   listing.replace(hosts);   // after each read of the whole list
//   for (const FleetHost &host : listing.hosts()) ...
//
// A list comes in pages that are not read at one moment, so that a host may be left out of a read
// while it is there. A maintenance wave would then count as complete without it. A host is
// therefore gone only once two reads in a row have left it out; until then it is listed as down.
//
// Cost: O(n log n) in hosts for each read.
#pragma once

#include "fleet/fleethost.h"

#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

class HostListing
{
public:
    void replace(std::span<const FleetHost> hosts);
    const std::vector<FleetHost> &hosts() const { return m_hosts; }
    // Returns whether a host that is not listed is not in the fleet, since two reads left it out.
    bool isSettled() const { return m_reads >= 2; }

private:
    std::vector<FleetHost> m_hosts; // Those of the last read first.
    std::size_t m_listed = 0; // Number of hosts in the last read.
    std::uint64_t m_reads = 0;
};

} // namespace sequoiapier
