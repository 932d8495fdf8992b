// Calls of a controller about hosts and waves, and their views on a terminal or as JSON.
//
//   return sendFleetEdit(settings, [&](api::FleetEdit &edit) { edit.__set_pauseWave(id); });
#pragma once

#include "cli/ctlcommand.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// Sends one change and prints the answer; a new identifier is made unless one is given. Returns the
// exit status, as all functions here do.
int sendFleetEdit(const CtlSettings &settings,
                  const std::function<void(api::FleetEdit &edit)> &fill);

int printHosts(const CtlSettings &settings);
int printPools(const CtlSettings &settings);
int printWaves(const CtlSettings &settings);

// The words of "a,b,c".
std::vector<std::string> splitNames(const std::string &names);

// "[#####.....]" with `width` places.
std::string progressBar(std::size_t done, std::size_t total, std::size_t width);

} // namespace sequoiapier
