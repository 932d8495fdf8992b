#include "cli/command.h"
#include "cli/onecall.h"
#include "cli/settingsparser.h"
#include "gen/OperatorService.h"
#include "net/rpcclient.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sequoiapier {

namespace {

constexpr Duration CallDeadline = std::chrono::seconds(10);

struct CtlSettings
{
    std::string controller = "127.0.0.1:7300";
    std::string operationId;
    std::int64_t baseVersion = 0;
    std::vector<std::string> words;
};

template<typename Args, typename Reply>
RpcAnswer<Reply> callOnce(const CtlSettings &settings, std::string method, const Args &args)
{
    OneCall call;
    RpcClient rpc(call.http());
    RpcAnswer<Reply> answer;
    call.run([&] {
        rpc.call<Args, Reply>(parseEndpoint(settings.controller).value(), "/operator",
                              std::move(method), args, BootClock::now() + CallDeadline,
                              [&](RpcAnswer<Reply> reply) {
                                  answer = std::move(reply);
                                  call.done();
                              });
    });
    return answer;
}

int printFailure(HttpOutcome outcome, std::string_view detail)
{
    std::cerr << "no answer from the controller: " << detail
              << (outcome == HttpOutcome::Lost ? " (the call may have taken effect)" : "") << "\n";
    return int(ResultCode::Unreachable);
}

int showConfiguration(const CtlSettings &settings)
{
    const auto answer
        = callOnce<api::OperatorService_configuration_args,
                   api::OperatorService_configuration_result>(settings, "configuration", {});
    if (!answer.reply)
        return printFailure(answer.outcome, answer.detail);
    const api::ConfigurationAnswer &configuration = answer.reply->success;
    if (configuration.code != int(ResultCode::Ok)) {
        std::cerr << configuration.code << " " << configuration.detail << "\n";
        return int(ResultCode::Unreachable);
    }
    std::cerr << "version " << configuration.version << "\n";
    std::cout << configuration.document << "\n";
    return int(ResultCode::Ok);
}

int applyDocument(const CtlSettings &settings, const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    api::OperatorService_change_args args;
    args.request.operationId = settings.operationId;
    args.request.baseVersion = settings.baseVersion;
    args.request.document = text.str();
    const auto answer
        = callOnce<api::OperatorService_change_args, api::OperatorService_change_result>(
            settings, "change", args);
    if (!answer.reply)
        return printFailure(answer.outcome, answer.detail);
    const api::ChangeAnswer &change = answer.reply->success;
    const ResultInfo &info = resultInfo(ResultCode(change.code));
    std::cout << change.code << " " << info.name << " version " << change.version << " "
              << change.detail << "\n";
    return int(info.code == ResultCode::Committed ? ResultCode::Ok : ResultCode::Usage);
}

} // namespace

int runCtl(CommandArgs args)
{
    CtlSettings settings;
    SettingsParser parser("ctl", "Operators' commands: configuration | apply FILE");
    parser.addText("controller", settings.controller,
                   {.isValid = [](std::string_view text) { return bool(parseEndpoint(text)); },
                    .expected = "IP-number:port",
                    .help = "Any controller"});
    parser.addText("operation-id", settings.operationId,
                   {.help = "Identifier of the change; repeat it to ask for its outcome"});
    parser.addInteger("base-version", settings.baseVersion,
                      {.help = "Version that the change was made from"});
    parser.addPositional(settings.words, "COMMAND");
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    const std::vector<std::string> &words = settings.words;
    if (words.size() == 1 && words[0] == "configuration")
        return showConfiguration(settings);
    if (words.size() == 2 && words[0] == "apply")
        return applyDocument(settings, words[1]);
    std::cerr << "commands: configuration | apply FILE\n";
    return int(ResultCode::Usage);
}

} // namespace sequoiapier
