// The fleet as shown to operators: hosts, budgets and waves, and what each of them waits for.
//
//   api::FleetAnswer answer = viewFleet(rows, driver.knowledge(), wallSeconds);
//
// viewFleet() is a pure function of the table's rows and one controller's knowledge of the hosts.
// It costs O(waves * hosts log hosts).
#pragma once

#include "controller/fleetrows.h"
#include "gen/operator_types.h"
#include "platform/hostplatform.h"

#include <map>

namespace sequoiapier {

// What a controller knows of the fleet that is not in the table.
struct FleetKnowledge
{
    bool hasPlatform = false; // the platform's host interface is configured and answers
    std::map<std::string, HostListing, std::less<>> listed; // live hosts by name
    std::map<std::string, HostReport, std::less<>> reports; // by host, only hosts not serving
    double averageOutSeconds = 300; // seconds from the start of draining to serving again

    // Whether `host` is missing from the list of live hosts or is listed as leaving.
    bool isLost(const HostRow &host) const;
};

// The hosts in the form that planWaveTick() takes.
std::vector<WaveHost> waveHosts(const FleetRows &rows, const FleetKnowledge &knowledge);

api::FleetAnswer viewFleet(const FleetRows &rows, const FleetKnowledge &knowledge,
                           std::int64_t now);

} // namespace sequoiapier
