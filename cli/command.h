// Entry points of the subcommands of the binary. Each takes its arguments, beginning with its own
// name, and returns the exit status.
#pragma once

#include <span>

namespace sequoiapier {

using CommandArgs = std::span<const char *const>;

int runNode(CommandArgs args);
int runGateway(CommandArgs args);
int runScheduler(CommandArgs args);
int runController(CommandArgs args);
int runCtl(CommandArgs args);
int runTimeline(CommandArgs args);
int runCheck(CommandArgs args);

} // namespace sequoiapier
