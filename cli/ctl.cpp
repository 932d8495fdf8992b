#include "cli/command.h"
#include "cli/ctlcommand.h"
#include "cli/endpointsetting.h"
#include "cli/settingsparser.h"
#include "net/endpoint.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace sequoiapier {

namespace {

std::vector<CtlCommand> allCommands()
{
    std::vector<CtlCommand> commands;
    for (const auto &group : {ctlConfigurationCommands(), ctlTeamCommands(), ctlKeyCommands(),
                              ctlQueueCommands(), ctlPoolCommands(), ctlServiceCommands(),
                              ctlHostCommands(), ctlWaveCommands(), ctlJobCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

std::string usage(const CtlCommand &command)
{
    std::string text;
    for (const std::string_view word : command.words)
        text += std::string(word) + " ";
    return text + std::string(command.operands);
}

std::string allUsages()
{
    std::string text;
    for (const CtlCommand &command : allCommands())
        text += (text.empty() ? "" : " | ") + usage(command);
    return text;
}

std::size_t operandCount(const CtlCommand &command)
{
    std::istringstream stream{std::string(command.operands)};
    std::size_t count = 0;
    for (std::string operand; stream >> operand;)
        ++count;
    return count;
}

bool matchesWords(const CtlCommand &command, const std::vector<std::string> &words)
{
    return words.size() == command.words.size() + operandCount(command)
        && std::equal(command.words.begin(), command.words.end(), words.begin());
}

bool areEndpoints(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    bool areValid = true;
    for (std::string endpoint; std::getline(stream, endpoint, ',');)
        areValid = areValid && bool(parseEndpoint(endpoint));
    return areValid;
}

constexpr std::int64_t MaxCount = 1'000'000;

void addChangeFlags(SettingsParser &parser, CtlSettings &settings)
{
    addEndpointSetting(parser, "controller", settings.controller, "Any controller");
    parser.addText("operation-id", settings.operationId,
                   {.help = "Identifier of the change; repeat it to ask for its outcome"});
    parser.addInteger("base-version", settings.baseVersion,
                      {.help = "Version that the change was made from; -1: the current one, or 0 "
                               "for apply"});
}

void addObjectFlags(SettingsParser &parser, CtlSettings &settings)
{
    parser.addInteger(
        "share", settings.share,
        {.min = 1, .max = MaxCount, .help = "Team: weight of its share when all slots are in use"});
    parser.addInteger(
        "ceiling", settings.ceiling,
        {.max = MaxCount, .help = "Team: maximum number of requests running; 0: no ceiling"});
    parser.addText("service", settings.service, {.help = "Queue: its service"});
    parser.addText("open", settings.open,
                   {.allowed = {"true", "false"}, .help = "Queue: takes work without a key"});
    parser.addInteger("max-queued", settings.maxQueued,
                      {.min = 1,
                       .max = MaxCount,
                       .help = "Queue: maximum number of requests waiting on a gateway"});
    parser.addInteger("max-unavailable", settings.maxUnavailable,
                      {.max = MaxCount, .help = "Pool: hosts out at once, planned and accidental"});
    parser.addText("pool", settings.pool, {.help = "Service, host, move, job: the pool"});
    parser.addInteger("slots", settings.slots,
                      {.min = 1, .max = MaxCount, .help = "Service: slots of a runner"});
    parser.addInteger("connections", settings.connections,
                      {.min = 1, .max = MaxCount, .help = "Service: connections of a runner"});
    parser.addText("runners", settings.runners,
                   {.isValid = areEndpoints,
                    .expected = "IP-number:port,...",
                    .help = "Service: its runners, replacing the current ones"});
    parser.addText("key-file", settings.keyFile, {.help = "Job: file with the team's key"});
}

constexpr std::int64_t MaxSeconds = 10LL * 365 * 24 * 3'600;

void addFleetFlags(SettingsParser &parser, CtlSettings &settings)
{
    parser.addText("rack", settings.rack, {.help = "Host: its rack"});
    parser.addText("zone", settings.zone, {.help = "Host: its availability zone"});
    parser.addText("hosts", settings.hosts, {.expected = "NAME,...", .help = "Wave: its hosts"});
    parser.addText("pools", settings.pools,
                   {.expected = "NAME,...", .help = "Wave: pools whose hosts it maintains"});
    parser.addInteger(
        "limit", settings.limit,
        {.max = MaxCount, .help = "Rack, zone: maximum number of hosts out of service at once"});
    parser.addInteger("max-out", settings.maxOut,
                      {.min = 1,
                       .max = MaxCount,
                       .help = "Wave: maximum number of its hosts out of service at once"});
    parser.addInteger(
        "drain-s", settings.drainSeconds,
        {.unit = "s", .min = 1, .max = MaxSeconds, .help = "Move, wave: time for a host's drain"});
    parser.addInteger("deadline-s", settings.deadlineSeconds,
                      {.unit = "s",
                       .min = 0,
                       .max = MaxSeconds,
                       .help = "Wave: deadline, from its declaration; 0: none"});
    parser.addInteger("period-s", settings.periodSeconds,
                      {.unit = "s",
                       .min = 0,
                       .max = MaxSeconds,
                       .help = "Wave: every host once per period; 0: once only"});
    parser.addText(
        "overdue", settings.overdue,
        {.allowed = {"skip", "stop"}, .help = "Wave: action on a host that does not drain"});
    parser.addFlag("resume-after-repair", settings.resumesAfterRepair,
                   "Wave: resumes when the failed domain that stopped it is back");
    parser.addFlag("json", settings.isJson, "Prints JSON");
}

} // namespace

int runCtl(CommandArgs args)
{
    CtlSettings settings;
    SettingsParser parser("ctl", "Operators' commands: " + allUsages());
    addChangeFlags(parser, settings);
    addObjectFlags(parser, settings);
    addFleetFlags(parser, settings);
    parser.addPositional(settings.words, "COMMAND");
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    for (const CtlCommand &command : allCommands()) {
        if (matchesWords(command, settings.words)) {
            const auto operands = std::span(settings.words).subspan(command.words.size());
            return command.run(settings, operands);
        }
    }
    std::cerr << "commands: " << allUsages() << "\n";
    return int(ResultCode::Usage);
}

} // namespace sequoiapier
