// Reads and changes the configuration through a controller, for the commands of ctl.
//
//   return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
//       edit.__set_removeTeam(name);
//   });
#pragma once

#include "cli/ctlcommand.h"
#include "gen/operator_types.h"
#include "sequoiapier/configuration.h"

namespace sequoiapier {

// Reads the current configuration, lets `fill` derive the edit from it, sends the edit and prints
// the answer. Without --base-version the edit is based on the version read; without --operation-id
// a new identifier is generated and printed. Returns the exit status, as all functions here that
// return int do.
int sendEdit(const CtlSettings &settings,
             const std::function<void(const Configuration &current, api::Edit &edit)> &fill);

// Replaces the whole configuration by `document` and prints the answer.
int sendDocument(const CtlSettings &settings, const std::string &document);

// Prints the configuration on standard output and its version on standard error.
int printConfiguration(const CtlSettings &settings);

// Returns `given`, or `current` if the flag was not given.
std::int32_t valueOr(std::int64_t given, std::uint32_t current);

} // namespace sequoiapier
