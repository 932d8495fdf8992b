#include "gateway/gatewaysettings.h"

#include "cli/endpointsetting.h"

namespace sequoiapier {

Result<std::optional<GatewaySettings>> parseGatewaySettings(std::span<const char *const> args)
{
    GatewaySettings settings;
    SettingsParser parser("gateway", "Takes callers' requests and sends them to runners.");
    addCommonSettings(parser, settings.common);
    parser.addInteger("caller-port", settings.callerPort,
                      {.min = 1, .max = 65'535, .help = "TCP port for callers"});
    parser.addInteger("max-body-bytes", settings.maxBodyBytes,
                      {.unit = "bytes", .min = 1, .max = 64 << 20, .help = "Longest request body"});
    parser.addInteger("max-caller-connections", settings.maxCallerConnections,
                      {.min = 1, .max = 100'000, .help = "Callers' connections at once"});
    parser.addInteger(
        "read-timeout-s", settings.common.readTimeoutSeconds,
        {.unit = "s", .min = 1, .max = 300, .help = "Longest time to send a request"});
    addTableSetting(parser, settings.tableEndpoint);
    addEndpointSetting(parser, "live-list", settings.liveListEndpoint,
                       "The platform's list of live and leaving hosts");
    parser.addInteger("longest-work-ms", settings.longestWorkMilliseconds,
                      {.unit = "ms",
                       .min = 100,
                       .max = 86'400'000,
                       .help = "Longest deadline; work without a shown end is taken to have ended "
                               "after this"});
    parser.addInteger("quiet-ms", settings.quietMilliseconds,
                      {.unit = "ms",
                       .min = 50,
                       .max = 60'000,
                       .help = "Time without callers' traffic that ends a graceful shutdown"});
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action)
        return action.error();
    if (action.value() == ParseAction::Exit)
        return std::optional<GatewaySettings>();
    return std::optional<GatewaySettings>(std::move(settings));
}

} // namespace sequoiapier
