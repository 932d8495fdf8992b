#include "testing/support/fullsystem.h"

#include <algorithm>

namespace sequoiapier {

namespace {

constexpr double MainGatewayFraction = 0.7;
constexpr Duration WindowStep = std::chrono::milliseconds(500);

std::string keyOf(const TeamSetup &team)
{
    return team.name + "-key";
}

void updateWorst(WorstShare &worst, double fraction, const std::string &what, Duration sinceStart)
{
    if (fraction >= worst.fraction)
        return;
    worst.fraction = fraction;
    worst.what = what + " from " + std::to_string(sinceStart.count() / 1'000) + " ms";
}

} // namespace

FullSystem::FullSystem(const std::string &name, Options options)
    : m_options(std::move(options))
    , m_system(name)
{ }

std::vector<TeamSetup> FullSystem::sixTeams(std::uint32_t ceiling)
{
    using std::chrono::milliseconds;
    return {{.name = "bottlers", .share = 4, .meanWork = milliseconds(200)},
            {.name = "depots", .share = 4, .meanWork = milliseconds(150)},
            {.name = "empties", .meanWork = milliseconds(100)},
            {.name = "recalls", .ceiling = ceiling, .meanWork = milliseconds(250)},
            {.name = "rounds", .meanWork = milliseconds(320)},
            {.name = "vans", .meanWork = milliseconds(160)}};
}

std::string FullSystem::runnerName(const std::string &service, unsigned index) const
{
    return "runner-" + service + "-" + std::to_string(index);
}

std::string FullSystem::gatewayName(unsigned index) const
{
    return "gateway-" + std::to_string(index + 1);
}

bool FullSystem::start()
{
    bool started = m_system.startTable() && m_system.startController("controller-1")
        && m_system.startScheduler("scheduler-1", {"--zone", "zone-1"})
        && m_system.startScheduler("scheduler-2", {"--zone", "zone-2"});
    for (const std::string &service : services()) {
        for (unsigned i = 0; i < m_options.runnersPerService; ++i)
            started = started && m_system.startRunner(runnerName(service, i));
    }
    for (unsigned i = 0; i < m_options.gateways; ++i) {
        const std::string zone = "zone-" + std::to_string(i % 3 + 1);
        started = started && m_system.startGateway(gatewayName(i), {"--zone", zone});
    }
    if (!started || m_system.applyConfiguration(toJson(configuration()), 0, "full") != 0)
        return false;
    const auto serves = [this](unsigned gateway, const std::string &queue) {
        const std::string key = keyOf(m_options.teams.front());
        return m_system.work(gatewayName(gateway), queue, key, "x").response.status == 200;
    };
    for (unsigned i = 0; i < m_options.gateways; ++i) {
        started = started && m_system.waitReady(gatewayName(i));
        for (const std::string &service : services())
            started = started && LocalSystem::waitUntil([&] { return serves(i, service); });
    }
    return started;
}

Configuration FullSystem::configuration()
{
    Configuration configuration;
    for (const TeamSetup &team : m_options.teams) {
        configuration.teams.push_back(
            {.name = team.name, .share = team.share, .ceiling = team.ceiling});
        configuration.keys.push_back({.digest = keyDigest(keyOf(team)), .team = team.name});
    }
    for (const std::string &name : services()) {
        ServiceConfig service{.name = name, .slotsPerRunner = SlotsPerRunner};
        for (unsigned i = 0; i < m_options.runnersPerService; ++i)
            service.runners.push_back({"127.0.0.1", m_system.member(runnerName(name, i)).workPort});
        configuration.services.push_back(std::move(service));
        configuration.queues.push_back({.name = name, .service = name});
    }
    configuration.maxGateways = m_options.gateways;
    return configuration;
}

double FullSystem::shareOf(const TeamSetup &team) const
{
    double shares = 0;
    for (const TeamSetup &each : m_options.teams)
        shares += each.share;
    return double(slotsPerService()) * team.share / shares;
}

std::vector<GatewayWeight> FullSystem::gatewayWeights(std::size_t team) const
{
    std::vector<GatewayWeight> weights;
    const unsigned count = m_options.gateways;
    for (unsigned i = 0; i < count; ++i) {
        const std::uint16_t port
            = const_cast<LocalSystem &>(m_system).member(gatewayName(i)).workPort;
        const bool isMain = i == team % count;
        weights.push_back(
            {port, isMain ? MainGatewayFraction : (1 - MainGatewayFraction) / (count - 1)});
    }
    return weights;
}

std::vector<TeamStream> FullSystem::streams(double factor) const
{
    std::vector<TeamStream> streams;
    for (const std::string &service : services()) {
        for (std::size_t i = 0; i < m_options.teams.size(); ++i) {
            const TeamSetup &team = m_options.teams[i];
            const double workSeconds = std::chrono::duration<double>(team.meanWork).count();
            streams.push_back({.team = team.name,
                               .key = keyOf(team),
                               .queue = service,
                               .requestsPerSecond = factor * shareOf(team) / workSeconds,
                               .gateways = gatewayWeights(i),
                               .meanWork = team.meanWork,
                               .deadline = m_options.deadline});
        }
    }
    return streams;
}

TeamStream FullSystem::urgentStream(const std::string &team) const
{
    const auto found = std::find_if(m_options.teams.begin(), m_options.teams.end(),
                                    [&](const TeamSetup &each) { return each.name == team; });
    const auto index = std::size_t(found - m_options.teams.begin());
    return {.team = team,
            .key = keyOf(*found),
            .queue = services().front(),
            .requestsPerSecond = 1,
            .gateways = {gatewayWeights(index)[(index + 1) % m_options.gateways]},
            .meanWork = found->meanWork,
            .deadline = std::chrono::seconds(10),
            .isUrgent = true,
            .isSteady = true};
}

std::optional<RunSpans> FullSystem::spans() const
{
    std::vector<std::string> runners;
    for (const std::string &service : services()) {
        for (unsigned i = 0; i < m_options.runnersPerService; ++i)
            runners.push_back(runnerName(service, i));
    }
    return fetchRunSpans(m_system, runners);
}

WorstShare worstShare(const FullSystem &full, const RunSpans &spans, TimePoint from,
                      TimePoint until, Duration length)
{
    WorstShare worst;
    const double seconds = std::chrono::duration<double>(length).count();
    const auto queues = full.services();
    double uncappedShares = 0;
    for (const TeamSetup &team : full.options().teams)
        uncappedShares += team.ceiling == 0 ? team.share : 0;
    for (TimePoint start = from; start + length <= until; start += WindowStep) {
        const TimePoint end = start + length;
        for (const std::string &queue : queues) {
            double remaining = double(full.slotsPerService()) * seconds;
            for (const TeamSetup &team : full.options().teams)
                remaining
                    -= team.ceiling > 0 ? spans.slotSeconds({team.name, queue}, start, end) : 0;
            for (const TeamSetup &team : full.options().teams) {
                if (team.ceiling > 0)
                    continue;
                const double used = spans.slotSeconds({team.name, queue}, start, end);
                updateWorst(worst, used / (remaining * team.share / uncappedShares),
                            team.name + "." + queue, start - from);
            }
        }
        for (const TeamSetup &team : full.options().teams) {
            if (team.ceiling > 0) {
                const double used = spans.slotSeconds({team.name}, start, end);
                updateWorst(worst, used / (team.ceiling * seconds), team.name, start - from);
            }
        }
    }
    return worst;
}

} // namespace sequoiapier
