#include "cli/ctlclient.h"

#include "cli/onecall.h"
#include "gen/OperatorService.h"
#include "net/rpcclient.h"

#include <iostream>
#include <random>
#include <sstream>

namespace sequoiapier {

namespace {

constexpr Duration CallDeadline = std::chrono::seconds(20);

struct OperationId
{
    std::string text;
    bool isNew = false;
};

OperationId operationId(const CtlSettings &settings)
{
    if (!settings.operationId.empty())
        return {settings.operationId, false};
    std::random_device random;
    std::ostringstream text;
    text << "ctl-" << std::hex << random() << random() << random();
    std::cerr << "operation " << text.str() << "\n";
    return {text.str(), true};
}

template<typename Args, typename Reply>
RpcAnswer<Reply> callOnce(const CtlSettings &settings, const std::string &method, const Args &args)
{
    OneCall call;
    RpcClient rpc(call.http());
    RpcAnswer<Reply> answer;
    call.run([&] {
        rpc.call<Args, Reply>(parseEndpoint(settings.controller).value(), "/operator", method, args,
                              BootClock::now() + CallDeadline, [&](RpcAnswer<Reply> reply) {
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

int exitStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Committed:
        return int(ResultCode::Ok);
    case ResultCode::NotCommitted:
    case ResultCode::CommitUnknown:
        return int(ResultCode::Unreachable);
    default:
        return int(ResultCode::Usage);
    }
}

template<typename Reply>
int printChange(const RpcAnswer<Reply> &answer)
{
    if (!answer.reply)
        return printFailure(answer.outcome, answer.detail);
    const api::ChangeAnswer &change = answer.reply->success;
    const ResultInfo &info = resultInfo(ResultCode(change.code));
    std::cout << change.code << " " << info.name << " version " << change.version << " "
              << change.detail << "\n";
    return exitStatus(info.code);
}

using ConfigurationReply = RpcAnswer<api::OperatorService_configuration_result>;

ConfigurationReply readConfiguration(const CtlSettings &settings)
{
    return callOnce<api::OperatorService_configuration_args,
                    api::OperatorService_configuration_result>(settings, "configuration", {});
}

// Prints why there is none and returns the exit status; Ok if there is one.
int checkConfiguration(const ConfigurationReply &answer)
{
    if (!answer.reply)
        return printFailure(answer.outcome, answer.detail);
    const api::ConfigurationAnswer &configuration = answer.reply->success;
    if (configuration.code == int(ResultCode::Ok))
        return int(ResultCode::Ok);
    std::cerr << configuration.code << " " << configuration.detail << "\n";
    return int(ResultCode::Unreachable);
}

} // namespace

int sendEdit(const CtlSettings &settings,
             const std::function<void(const Configuration &current, api::Edit &edit)> &fill)
{
    const ConfigurationReply read = readConfiguration(settings);
    const int status = checkConfiguration(read);
    if (status != int(ResultCode::Ok))
        return status;
    const api::ConfigurationAnswer &current = read.reply->success;
    const auto version = std::uint64_t(current.version);
    const Result<Configuration> configuration
        = parseConfiguration(version != 0 ? current.document : "{}", version);
    if (!configuration) {
        std::cerr << "the configuration in the table can't be parsed, apply a whole one: "
                  << configuration.error().detail << "\n";
        return int(ResultCode::Usage);
    }
    const OperationId id = operationId(settings);
    api::OperatorService_edit_args args;
    args.request.operationId = id.text;
    args.request.isNewId = id.isNew;
    args.request.baseVersion
        = settings.baseVersion != CtlSettings::NotGiven ? settings.baseVersion : current.version;
    fill(configuration.value(), args.request.edit);
    return printChange(callOnce<api::OperatorService_edit_args, api::OperatorService_edit_result>(
        settings, "edit", args));
}

int sendDocument(const CtlSettings &settings, const std::string &document)
{
    const OperationId id = operationId(settings);
    api::OperatorService_change_args args;
    args.request.operationId = id.text;
    args.request.isNewId = id.isNew;
    args.request.baseVersion
        = settings.baseVersion != CtlSettings::NotGiven ? settings.baseVersion : 0;
    args.request.document = document;
    return printChange(
        callOnce<api::OperatorService_change_args, api::OperatorService_change_result>(
            settings, "change", args));
}

int printConfiguration(const CtlSettings &settings)
{
    const ConfigurationReply answer = readConfiguration(settings);
    const int status = checkConfiguration(answer);
    if (status != int(ResultCode::Ok))
        return status;
    std::cerr << "version " << answer.reply->success.version << "\n";
    std::cout << answer.reply->success.document << "\n";
    return status;
}

std::int32_t valueOr(std::int64_t given, std::uint32_t current)
{
    return std::int32_t(given != CtlSettings::NotGiven ? given : std::int64_t(current));
}

} // namespace sequoiapier
