// The `node` subcommand: reads the settings and runs a Node in a Daemon.
#include "cli/command.h"
#include "fleet/fleetweights.h"
#include "node/node.h"

#include <malloc.h>

#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

struct NodeFlags
{
    std::string config; // path of the platform's settings file
    std::string logLevel = "info";
    std::string profile = "association"; // name of the FleetWeights profile
    ClientLimits clientLimits;
};

Result<ParseAction> parseFlags(CommandArgs args, NodeFlags &flags)
{
    SettingsParser parser("node", "A host of the system on the users' platform.");
    parser.addText("config", flags.config,
                   {.isRequired = true, .help = "Settings file that the platform fills in"});
    parser.addText("log-level", flags.logLevel,
                   {.allowed = {"error", "warn", "info", "debug"}, .help = "Least severe level"});
    std::vector<std::string> profiles;
    profiles.reserve(FleetProfiles.size());
    for (const FleetWeights &weights : FleetProfiles)
        profiles.emplace_back(weights.name);
    parser.addText(
        "profile", flags.profile,
        {.allowed = profiles, .help = "What hosts beyond the need, hosts short and moves cost"});
    addClientLimitSettings(parser, flags.clientLimits);
    return parser.parse(args, processEnvironment);
}

int fail(const Error &error)
{
    std::cerr << error.detail << "\n";
    return int(error.code);
}

CommonSettings commonSettings(const NodeSettings &settings, const NodeFlags &flags)
{
    using std::chrono::milliseconds;
    CommonSettings common{.name = settings.name,
                          .zone = settings.zone,
                          .address = settings.callers.address,
                          .port = settings.peerPort,
                          .logFormat = "json",
                          .logLevel = flags.logLevel,
                          .isLogToStandardOutput = true};
    common.drainMilliseconds
        = std::chrono::duration_cast<milliseconds>(settings.grace).count() - 300;
    common.maxDescriptors = settings.maxDescriptors;
    common.adminConnections = flags.clientLimits.adminConnections;
    return common;
}

// glibc keeps freed blocks below a threshold, which by default rises to 32 MiB with the blocks
// freed. With a fixed threshold, the memory of large bodies is returned when they are freed.
void limitAllocatorReserve()
{
    constexpr int MapThreshold = 64 * 1024;
    constexpr int TrimThreshold = 512 * 1024;
    mallopt(M_MMAP_THRESHOLD, MapThreshold);
    mallopt(M_TRIM_THRESHOLD, TrimThreshold);
}

} // namespace

int runNode(CommandArgs args)
{
    NodeFlags flags;
    const Result<ParseAction> action = parseFlags(args, flags);
    if (!action)
        return fail(action.error());
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    Result<NodeSettings> settings = readNodeSettings(flags.config);
    if (!settings)
        return fail(settings.error());
    const Result<void> limits = flags.clientLimits.resolve(settings.value());
    if (!limits)
        return fail(limits.error());
    limitAllocatorReserve();
    Daemon daemon(commonSettings(settings.value(), flags));
    Node node(daemon, std::move(settings.value()), *findFleetProfile(flags.profile),
              flags.clientLimits);
    if (!node.isListening())
        return fail({ResultCode::ListenFailed, "can't listen for callers"});
    daemon.onReload([&] {
        const Result<NodeSettings> reloaded = readNodeSettings(flags.config);
        daemon.logger().info("settings.reloaded",
                             {{"detail", reloaded ? "ok" : reloaded.error().detail}});
    });
    node.start();
    return daemon.run();
}

} // namespace sequoiapier
