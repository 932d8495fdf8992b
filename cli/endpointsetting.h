// addEndpointSetting: adds a setting whose value is an endpoint, "IP-number:port".
//
//   addEndpointSetting(parser, "tasks", settings.taskEndpoint, "The platform's task service");
#pragma once

#include "cli/settingsparser.h"

namespace sequoiapier {

void addEndpointSetting(SettingsParser &parser, std::string name, std::string &endpoint,
                        std::string_view help, bool isRequired = false);

} // namespace sequoiapier
