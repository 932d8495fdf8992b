#include "controller/controller.h"

#include "cli/command.h"
#include "cli/endpointsetting.h"

#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration NoticePeriod = std::chrono::seconds(10);
// Number of ticks without a new list of live hosts after which waves wait.
constexpr int MaxMissedTicks = 10;
// Number of controllers that step hosts and waves at every interval. All others step at every
// StandbyFactor-th interval.
constexpr std::size_t LeadCount = 2;
constexpr int StandbyFactor = 5;

std::int64_t wallSeconds()
{
    using namespace std::chrono;
    return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

void addFleetSettings(SettingsParser &parser, ControllerSettings &settings)
{
    addEndpointSetting(parser, "hosts", settings.hostsEndpoint,
                       "The platform's host interface; without it no host is moved or maintained");
    parser.addInteger(
        "fleet-interval-ms", settings.fleetMilliseconds,
        {.unit = "ms", .min = 50, .max = 60'000, .help = "Time between steps of hosts and waves"});
    parser.addInteger("expected-out-s", settings.expectedOutSeconds,
                      {.unit = "s",
                       .min = 1,
                       .max = 86'400,
                       .help = "Time that a host's maintenance takes, until some have ended"});
}

} // namespace

Controller::Controller(Daemon &daemon, const ControllerSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_node(daemon, {.role = "controller", .table = parseEndpoint(settings.tableEndpoint).value()},
             {.joined =
                  [this] {
                      startFleet();
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
    , m_fleetApi({.change = {.table = m_node.table(), .now = &BootClock::now},
                  .wallSeconds = &wallSeconds,
                  .knowledge = [this] { return m_fleet ? m_fleet->knowledge() : FleetKnowledge{}; },
                  .committed =
                      [&daemon](std::string_view operationId) {
                          daemon.report("fleet.committed", {.cause = std::string(operationId)});
                      }})
    , m_fleetTimer(daemon.loop(), [this] { tickFleet(); })
{
    m_fleetApi.addTo(m_operators.rpcServer());
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
        notices.push_back({.digest = digest, .remaining = NoticePeriod});
    m_node.announce(notices);
}

void Controller::startFleet()
{
    m_daemon.setReady(true);
    if (m_settings.hostsEndpoint.empty())
        return;
    const Endpoint endpoint = parseEndpoint(m_settings.hostsEndpoint).value();
    m_hosts = std::make_unique<HostClient>(m_daemon.httpClient(), HostClient::Options{endpoint});
    m_fleet = std::make_unique<FleetDriver>(
        FleetDriver::Hooks{.table = m_node.table(),
                           .platform = m_hosts->hooks(),
                           .now = &BootClock::now,
                           .wallSeconds = &wallSeconds,
                           .configuration = [this] { return confirmedConfiguration(); },
                           .report
                           = [this](std::string_view kind,
                                    Event event) { m_daemon.report(kind, std::move(event)); }},
        FleetDriver::Options{.process = m_daemon.settings().name,
                             .incarnation = m_node.self().incarnation,
                             .maxListAge = MaxMissedTicks
                                 * std::chrono::milliseconds(m_settings.fleetMilliseconds),
                             .expectedOut = m_settings.expectedOutSeconds});
    tickFleet();
}

void Controller::tickFleet()
{
    m_fleet->tick();
    const Duration interval = std::chrono::milliseconds(m_settings.fleetMilliseconds);
    m_fleetTimer.startAt(BootClock::now() + (leadsFleet() ? interval : interval * StandbyFactor));
}

// Limits the load on the table only: correctness does not depend on which controllers lead, or on
// how many consider themselves leading.
bool Controller::leadsFleet()
{
    std::size_t before = 0;
    for (const MemberRow &other : m_node.membership().alive("controller", BootClock::now()))
        before += other.name < m_daemon.settings().name ? 1 : 0;
    return before < LeadCount;
}

const Configuration *Controller::confirmedConfiguration()
{
    ConfigurationFollower &follower = m_node.follower();
    return follower.isConfirmed(BootClock::now()) ? &follower.configuration() : nullptr;
}

int runController(CommandArgs args)
{
    ControllerSettings settings;
    SettingsParser parser("controller", "Serves operators; keeps configuration, hosts and waves.");
    addCommonSettings(parser, settings.common);
    addTableSetting(parser, settings.tableEndpoint);
    addFleetSettings(parser, settings);
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
