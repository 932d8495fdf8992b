// The stand-ins for the outside systems: `standin table`, `standin runner`, `standin livelist`.
#include "testing/standin/liveliststandin.h"
#include "testing/standin/runnerstandin.h"
#include "testing/standin/tablestandin.h"

#include <iostream>

namespace {

using namespace sequoiapier;

int runTable(CommonSettings &settings)
{
    Daemon daemon(settings);
    const TableStandin table(daemon);
    daemon.setReady(true);
    return daemon.run();
}

int runLiveList(CommonSettings &settings, std::int64_t lagMilliseconds)
{
    Daemon daemon(settings);
    const LiveListStandin liveList(daemon, lagMilliseconds);
    daemon.setReady(true);
    return daemon.run();
}

int runRunner(CommonSettings &settings, const RunnerSettings &runnerSettings)
{
    Daemon daemon(settings);
    const RunnerStandin runner(daemon, runnerSettings);
    if (!runner.isListening())
        return int(ResultCode::ListenFailed);
    daemon.setReady(true);
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    CommonSettings settings;
    RunnerSettings runner;
    std::int64_t lagMilliseconds = 0;
    std::vector<std::string> kinds;
    SettingsParser parser("standin",
                          "Stand-ins for the outside systems: table | runner | livelist");
    addCommonSettings(parser, settings);
    parser.addInteger("slots", runner.slots, {.min = 1, .help = "Requests run at once"});
    parser.addInteger("connections", runner.connections, {.min = 1, .help = "Connections at once"});
    parser.addInteger("work-ms", runner.workMilliseconds,
                      {.unit = "ms", .help = "Time of one run"});
    parser.addInteger("work-port", runner.workPort, {.max = 65'535, .help = "TCP port for work"});
    parser.addText("work-address", runner.workAddress, {.help = "IP number for work"});
    parser.addInteger("lag-ms", lagMilliseconds, {.unit = "ms", .help = "Lag of the live list"});
    parser.addText("record-file", runner.recordFile, {.help = "File of the runs, a line each"});
    parser.addPositional(kinds, "KIND");
    const auto action = parser.parse({argv, std::size_t(argc)}, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    if (kinds == std::vector<std::string>{"table"})
        return runTable(settings);
    if (kinds == std::vector<std::string>{"runner"})
        return runRunner(settings, runner);
    if (kinds == std::vector<std::string>{"livelist"})
        return runLiveList(settings, lagMilliseconds);
    std::cerr << "kinds: table | runner | livelist\n";
    return int(ResultCode::Usage);
}
