#include "cli/endpointsetting.h"

#include "net/endpoint.h"

#include <utility>

namespace sequoiapier {

void addEndpointSetting(SettingsParser &parser, std::string name, std::string &endpoint,
                        std::string_view help, bool isRequired)
{
    parser.addText(std::move(name), endpoint,
                   {.isRequired = isRequired,
                    .isValid = [](std::string_view text) { return bool(parseEndpoint(text)); },
                    .expected = "IP-number:port",
                    .help = help});
}

} // namespace sequoiapier
