#include "cli/command.h"
#include "cli/daemon.h"

#include <iostream>

namespace sequoiapier {

int runScheduler(CommandArgs args)
{
    CommonSettings settings;
    SettingsParser parser("scheduler", "Lends runner slots and team ceilings to gateways.");
    addCommonSettings(parser, settings);
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    Daemon daemon(settings);
    daemon.setReady(true);
    return daemon.run();
}

} // namespace sequoiapier
