#include "controller/controller.h"

#include "cli/command.h"

#include <iostream>
#include <utility>

namespace sequoiapier {

Controller::Controller(Daemon &daemon, const ControllerSettings &settings)
    : m_remoteTable(daemon.httpClient(), {parseEndpoint(settings.tableEndpoint).value()})
    , m_operators({.table = m_remoteTable.hooks(), .now = &BootClock::now},
                  [&daemon](std::string_view operationId, std::uint64_t version) {
                      daemon.report("configuration.committed",
                                    {.epoch = version, .cause = std::string(operationId)});
                  })
{
    daemon.route("/operator", [this](const std::shared_ptr<HttpExchange> &exchange) {
        m_operators.serve(exchange);
    });
}

int runController(CommandArgs args)
{
    ControllerSettings settings;
    SettingsParser parser("controller", "Serves operators; keeps configuration, hosts and waves.");
    addCommonSettings(parser, settings.common);
    addTableSetting(parser, settings.tableEndpoint);
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
