#include "controller/controller.h"

#include "cli/command.h"
#include "sequoiapier/configuration.h"

#include <chrono>
#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TableDeadline = std::chrono::seconds(2);

void answerChange(const RpcServer::Answer<api::OperatorService_change_result> &answer,
                  ResultCode code, std::string_view detail, std::uint64_t version)
{
    api::OperatorService_change_result result;
    result.success.code = int(code);
    result.success.detail = detail;
    result.success.version = std::int64_t(version);
    result.__isset.success = true;
    answer(result);
}

} // namespace

Controller::Controller(Daemon &daemon, const ControllerSettings &settings)
    : m_daemon(daemon)
    , m_remoteTable(daemon.httpClient(), {parseEndpoint(settings.tableEndpoint).value()})
    , m_table(m_remoteTable.hooks())
{
    m_rpc.add<api::OperatorService_configuration_args, api::OperatorService_configuration_result>(
        "configuration",
        [this](const auto &, const ConfigurationCallback &answer) { readConfiguration(answer); });
    m_rpc.add<api::OperatorService_change_args, api::OperatorService_change_result>(
        "change", [this](const auto &args, const ChangeAnswerCallback &answer) {
            change(args.request, answer);
        });
    m_daemon.route("/operator", [this](const std::shared_ptr<HttpExchange> &exchange) {
        m_rpc.serve(exchange);
    });
}

void Controller::readConfiguration(const ConfigurationCallback &answer)
{
    m_table.read(ConfigurationKey, BootClock::now() + TableDeadline,
                 [answer](const Result<std::optional<TableRow>> &row) {
                     api::OperatorService_configuration_result result;
                     result.__isset.success = true;
                     if (!row) {
                         result.success.code = int(row.error().code);
                         result.success.detail = row.error().detail;
                     } else if (row.value()) {
                         result.success.version = std::int64_t(row.value()->version);
                         result.success.document = row.value()->value;
                     }
                     answer(result);
                 });
}

void Controller::change(const api::ChangeRequest &request, const ChangeAnswerCallback &answer)
{
    if (request.operationId.empty()) {
        answerChange(answer, ResultCode::ChangeInvalid, "operationId is empty", 0);
        return;
    }
    const Result<Configuration> parsed
        = parseConfiguration(request.document, std::uint64_t(request.baseVersion) + 1);
    if (!parsed) {
        answerChange(answer, ResultCode::ChangeInvalid, parsed.error().detail, 0);
        return;
    }
    commitChange(request, answer);
}

void Controller::commitChange(const api::ChangeRequest &request, const ChangeAnswerCallback &answer)
{
    Commit commit{.writeId = "operator/" + request.operationId};
    commit.writes.push_back({.key = std::string(ConfigurationKey),
                             .value = request.document,
                             .baseVersion = std::uint64_t(request.baseVersion)});
    m_table.commit(std::move(commit), BootClock::now() + TableDeadline,
                   [this, request, answer](const CommitAnswer &result) {
                       switch (result.outcome) {
                       case CommitOutcome::Committed:
                           m_daemon.report(
                               "configuration.committed",
                               {.epoch = result.versions.front(), .cause = request.operationId});
                           answerChange(answer, ResultCode::Committed, "", result.versions.front());
                           return;
                       case CommitOutcome::NotCommitted:
                           answerChange(answer, ResultCode::NotCommitted, "table unavailable", 0);
                           return;
                       case CommitOutcome::Conflict:
                       case CommitOutcome::Unknown:
                           // A conflict may be this operation's own earlier write.
                           resolveUnknown(request, answer);
                           return;
                       }
                   });
}

void Controller::resolveUnknown(const api::ChangeRequest &request,
                                const ChangeAnswerCallback &answer)
{
    m_table.read(writeRecordKey("operator/" + request.operationId),
                 BootClock::now() + TableDeadline,
                 [answer](const Result<std::optional<TableRow>> &row) {
                     if (!row) {
                         answerChange(answer, ResultCode::CommitUnknown, row.error().detail, 0);
                     } else if (row.value()) {
                         answerChange(answer, ResultCode::Committed, "committed before", 0);
                     } else {
                         answerChange(answer, ResultCode::Conflict,
                                      "the base version is not the current one", 0);
                     }
                 });
}

int runController(CommandArgs args)
{
    ControllerSettings settings;
    SettingsParser parser("controller", "Serves operators; keeps configuration, hosts and waves.");
    addCommonSettings(parser, settings.common);
    parser.addText("table", settings.tableEndpoint,
                   {.isRequired = true,
                    .isValid = [](std::string_view text) { return bool(parseEndpoint(text)); },
                    .expected = "IP-number:port",
                    .help = "The platform's table service"});
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    Daemon daemon(settings.common);
    const Controller controller(daemon, settings);
    daemon.setReady(true);
    return daemon.run();
}

} // namespace sequoiapier
