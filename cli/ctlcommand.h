// CtlCommand: one command of `sequoiapier ctl`, for operators and teams.
//
// A command gets the operands that follow its words and returns the exit status. Each file
// cli/ctl*.cpp defines the commands for one kind of object.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

// Values of all flags of ctl. A flag that was not given keeps its default, which is NotGiven or
// empty where a command must tell it from a value.
struct CtlSettings
{
    static constexpr std::int64_t NotGiven = -1;

    std::string controller = "127.0.0.1:7300";
    std::string operationId;
    std::int64_t baseVersion = NotGiven;
    std::int64_t share = NotGiven;
    std::int64_t ceiling = NotGiven;
    std::string service;
    std::string open;
    std::int64_t maxQueued = NotGiven;
    std::int64_t maxUnavailable = NotGiven;
    std::string pool;
    std::int64_t slots = NotGiven;
    std::int64_t connections = NotGiven;
    std::string runners;
    std::string rack;
    std::string zone;
    std::string hosts;
    std::string pools;
    std::int64_t limit = NotGiven;
    std::int64_t maxOut = 1;
    std::int64_t drainSeconds = 600;
    std::int64_t deadlineSeconds = 0;
    std::int64_t periodSeconds = 0;
    std::string overdue = "skip";
    bool resumesAfterRepair = false;
    bool isJson = false;
    std::string keyFile;
    std::vector<std::string> words;
};

struct CtlCommand
{
    std::vector<std::string_view> words; // for example "team", "set"
    std::string_view operands; // for example "NAME"; their count is checked
    std::function<int(const CtlSettings &, std::span<const std::string> operands)> run;
};

std::vector<CtlCommand> ctlConfigurationCommands();
std::vector<CtlCommand> ctlTeamCommands();
std::vector<CtlCommand> ctlKeyCommands();
std::vector<CtlCommand> ctlQueueCommands();
std::vector<CtlCommand> ctlPoolCommands();
std::vector<CtlCommand> ctlServiceCommands();
std::vector<CtlCommand> ctlHostCommands();
std::vector<CtlCommand> ctlWaveCommands();
std::vector<CtlCommand> ctlJobCommands();

} // namespace sequoiapier
