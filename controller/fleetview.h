// FleetView: the fleet as operators see it: hosts, budgets and waves, and why each waits.
//
//   api::FleetAnswer answer = viewFleet(rows, driver.knowledge(), wallSeconds);
//
// A pure function of the table's rows and of what one controller knows besides them. O(waves *
// hosts log hosts).
#pragma once

#include "controller/fleetrows.h"
#include "gen/operator_types.h"
#include "platform/hostplatform.h"

#include <map>

namespace sequoiapier {

struct FleetKnowledge
{
    bool hasPlatform = false; // the host interface is set and answers
    std::map<std::string, HostListing, std::less<>> listed;
    std::map<std::string, HostReport, std::less<>> reports; // of hosts that are not serving
    double averageOut = 300; // seconds from draining to serving again

    // Not in the list of live hosts, or leaving.
    bool isLost(const HostRow &host) const;
};

// The hosts as a wave's planner takes them.
std::vector<WaveHost> waveHosts(const FleetRows &rows, const FleetKnowledge &knowledge);

api::FleetAnswer viewFleet(const FleetRows &rows, const FleetKnowledge &knowledge,
                           std::int64_t now);

} // namespace sequoiapier
