#include "cli/ctlclient.h"

#include "cli/ctlcall.h"

#include <iostream>

namespace sequoiapier {

namespace {

using ConfigurationReply = RpcAnswer<api::OperatorService_configuration_result>;

ConfigurationReply readConfiguration(const CtlSettings &settings)
{
    return detail::callOnce<api::OperatorService_configuration_args,
                            api::OperatorService_configuration_result>(
        settings, detail::OperatorPath, "configuration", {});
}

// Returns Ok if the answer holds a configuration; otherwise prints why not and returns the exit
// status.
int checkConfiguration(const ConfigurationReply &answer)
{
    if (!answer.reply)
        return detail::printFailure(answer.outcome, answer.detail);
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
        std::cerr << "the stored configuration can't be parsed, replace it with apply: "
                  << configuration.error().detail << "\n";
        return int(ResultCode::Usage);
    }
    const detail::OperationId id = detail::operationId(settings);
    api::OperatorService_edit_args args;
    args.request.operationId = id.text;
    args.request.isNewId = id.isNew;
    args.request.baseVersion
        = settings.baseVersion != CtlSettings::NotGiven ? settings.baseVersion : current.version;
    fill(configuration.value(), args.request.edit);
    return detail::printChange(
        settings,
        detail::callOnce<api::OperatorService_edit_args, api::OperatorService_edit_result>(
            settings, detail::OperatorPath, "edit", args));
}

int sendDocument(const CtlSettings &settings, const std::string &document)
{
    const detail::OperationId id = detail::operationId(settings);
    api::OperatorService_change_args args;
    args.request.operationId = id.text;
    args.request.isNewId = id.isNew;
    args.request.baseVersion
        = settings.baseVersion != CtlSettings::NotGiven ? settings.baseVersion : 0;
    args.request.document = document;
    return detail::printChange(
        settings,
        detail::callOnce<api::OperatorService_change_args, api::OperatorService_change_result>(
            settings, detail::OperatorPath, "change", args));
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
