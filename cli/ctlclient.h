// Calls of a controller by the commands of ctl.
//
//   return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
//       edit.__set_removeTeam(name);
//   });
#pragma once

#include "cli/ctlcommand.h"
#include "gen/operator_types.h"
#include "sequoiapier/configuration.h"

namespace sequoiapier {

// Reads the current configuration, lets `fill` make the edit from it, sends it and prints the
// answer. Without --base-version the edit is made from the version read; without --operation-id a
// new identifier is made and printed. Returns the exit status.
int sendEdit(const CtlSettings &settings,
             const std::function<void(const Configuration &current, api::Edit &edit)> &fill);

// Sends a whole document and prints the answer.
int sendDocument(const CtlSettings &settings, const std::string &document);

// Prints the configuration and, on standard error, its version.
int printConfiguration(const CtlSettings &settings);

// `given`, or `current` where the flag was not given.
std::int32_t valueOr(std::int64_t given, std::uint32_t current);

} // namespace sequoiapier
