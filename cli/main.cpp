// Entry point of the sequoiapier binary, which has one subcommand per role and some for operators.
#include "cli/command.h"
#include "cli/crashtrace.h"
#include "sequoiapier/resultcode.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {

using namespace sequoiapier;

struct Command
{
    std::string_view name;
    int (*run)(CommandArgs);
    std::string_view summary;
};

constexpr auto Commands = std::to_array<Command>({
    {"node", runNode, "A host of the system on the users' platform: serves callers and owns pools"},
    {"gateway", runGateway, "Takes callers' requests and sends them to runners"},
    {"scheduler", runScheduler, "Lends runner slots and team ceilings to gateways"},
    {"controller", runController, "Serves operators; keeps configuration, hosts and waves"},
    {"ctl", runCtl, "Operators' commands"},
    {"timeline", runTimeline, "Merges the events of all processes"},
    {"check", runCheck, "Checks a configuration document"},
});

void printUsage(std::ostream &out)
{
    out << "Usage: sequoiapier COMMAND [--help] [flags]\n\n";
    for (const Command &command : Commands)
        out << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary
            << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    installCrashTrace();
    const CommandArgs args(argv + 1, argv + argc);
    const std::string_view name = args.empty() ? "" : args.front();
    if (name == "--version") {
        std::cout << "sequoiapier " << SEQUOIAPIER_VERSION << "\n";
        return int(ResultCode::Ok);
    }
    for (const Command &command : Commands) {
        if (command.name == name)
            return command.run(args);
    }
    const bool isHelp = name == "--help";
    printUsage(isHelp ? std::cout : std::cerr);
    return int(isHelp ? ResultCode::Ok : ResultCode::Usage);
}
