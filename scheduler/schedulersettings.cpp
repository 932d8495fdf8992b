#include "scheduler/schedulersettings.h"

#include "net/endpoint.h"

namespace sequoiapier {

Result<std::optional<SchedulerSettings>> parseSchedulerSettings(std::span<const char *const> args)
{
    SchedulerSettings settings;
    SettingsParser parser("scheduler", "Lends runner slots and team ceilings to gateways.");
    addCommonSettings(parser, settings.common);
    addTableSetting(parser, settings.tableEndpoint);
    parser.addInteger("lease-ms", settings.leaseMilliseconds,
                      {.unit = "ms", .min = 500, .max = 60'000, .help = "Term of a loan"});
    parser.addInteger("outage-lease-ms", settings.outageLeaseMilliseconds,
                      {.unit = "ms",
                       .min = 0,
                       .max = 86'400'000,
                       .help = "Term of loans made while the table can't be reached"});
    parser.addInteger("longest-work-ms", settings.longestWorkMilliseconds,
                      {.unit = "ms",
                       .min = 100,
                       .max = 86'400'000,
                       .help = "Work of a dead gateway is taken to have ended after this"});
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action)
        return action.error();
    if (action.value() == ParseAction::Exit)
        return std::optional<SchedulerSettings>();
    return std::optional<SchedulerSettings>(std::move(settings));
}

} // namespace sequoiapier
