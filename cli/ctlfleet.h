// Changes hosts and waves through a controller and prints them as tables or JSON.
//
//   return sendFleetEdit(settings, [&](api::FleetEdit &edit) { edit.__set_pauseWave(id); });
#pragma once

#include "cli/ctlcommand.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// Sends one change and prints the answer. Without --operation-id a new identifier is generated.
// Returns the exit status, as all functions here that return int do.
int sendFleetEdit(const CtlSettings &settings,
                  const std::function<void(api::FleetEdit &edit)> &fill);

int printHosts(const CtlSettings &settings);
int printPools(const CtlSettings &settings);
int printWaves(const CtlSettings &settings);

// Splits "a,b,c" at the commas.
std::vector<std::string> splitNames(const std::string &names);

// Returns a bar such as "[#####.....]" with `width` characters between the brackets.
std::string progressBar(std::size_t done, std::size_t total, std::size_t width);

} // namespace sequoiapier
