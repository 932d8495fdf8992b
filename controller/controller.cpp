#include "controller/controller.h"

#include "cli/command.h"

#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration NoticeTime = std::chrono::seconds(10);

} // namespace

Controller::Controller(Daemon &daemon, const ControllerSettings &settings)
    : m_node(daemon, {.role = "controller", .table = parseEndpoint(settings.tableEndpoint).value()},
             {.joined =
                  [this, &daemon] {
                      daemon.setReady(true);
                      if (m_jobs)
                          m_jobs->start();
                  }})
    , m_pusher(daemon, m_node)
    , m_operators({.table = m_node.table(),
                   .now = &BootClock::now,
                   .announce = [this](std::span<const std::string> digests) { announce(digests); },
                   .push =
                       [this](const CommittedVersion &committed, std::function<void(bool)> done) {
                           m_pusher.push(committed, std::move(done));
                       }},
                  [&daemon](std::string_view operationId, std::uint64_t version) {
                      daemon.report("configuration.committed",
                                    {.epoch = version, .cause = std::string(operationId)});
                  })
{
    daemon.route("/operator", [this](const std::shared_ptr<HttpExchange> &exchange) {
        m_operators.serve(exchange);
    });
    if (!settings.jobs.taskEndpoint.empty())
        m_jobs = std::make_unique<JobControl>(daemon, m_node, settings.jobs);
    m_node.start();
}

void Controller::announce(std::span<const std::string> digests)
{
    std::vector<WithdrawalNotice> notices;
    notices.reserve(digests.size());
    for (const std::string &digest : digests)
        notices.push_back({.digest = digest, .remaining = NoticeTime});
    m_node.announce(notices);
}

int runController(CommandArgs args)
{
    ControllerSettings settings;
    SettingsParser parser("controller", "Serves operators; keeps configuration, hosts and waves.");
    addCommonSettings(parser, settings.common);
    addTableSetting(parser, settings.tableEndpoint);
    addJobSettings(parser, settings.jobs);
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    Daemon daemon(settings.common);
    const Controller controller(daemon, settings);
    return daemon.run();
}

} // namespace sequoiapier
