// Measures closeness to share and start delays of urgent work when all slots are in use: for queue
// disciplines on one gateway, and for variants of lending slots to eight gateways whose callers are
// spread unevenly.
#include "bench/support/gatewaymodel.h"
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "sequoiapier/maxminshare.h"

#include <algorithm>
#include <memory>
#include <random>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t SlotCount = 80;
constexpr Duration SamplePeriod = 10ms;
constexpr std::uint64_t SeedCount = 3;
constexpr Duration WindowLength = 10s;
constexpr Duration WarmUp = 5s;
constexpr Duration RunLength = 65s;
constexpr double OfferedLoad = 3; // offered slot time divided by capacity

struct BenchTeam
{
    std::string name;
    std::uint32_t weight = 1;
    Duration meanRunTime = 100ms;
};

enum class LendingMode { None, Fixed, ByDemand, ByTeamDemand };

struct Scenario
{
    std::string label;
    std::vector<BenchTeam> teams;
    bool isFifo = false; // all teams share one FIFO queue
    bool learnsRunTimes = true;
    bool flagsUrgent = true;
    double startCharge = TeamQueues::Options().startCharge;
    std::size_t gateways = 1;
    LendingMode lending = LendingMode::None;
    Duration lendPeriod = 100ms;
};

class FairnessRun
{
public:
    FairnessRun(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_usedSlotSeconds(scenario.teams.size())
    {
        for (std::size_t i = 0; i < scenario.gateways; ++i)
            addGateway();
        m_end = m_time.now() + RunLength;
        for (std::size_t team = 0; team < scenario.teams.size(); ++team)
            scheduleArrival(team);
        scheduleUrgent();
        if (scenario.lending == LendingMode::ByDemand
            || scenario.lending == LendingMode::ByTeamDemand)
            repeat(m_time, scenario.lendPeriod, m_end, [this] { lend(); });
        m_windowStart = m_time.now() + WarmUp;
        repeat(m_time, SamplePeriod, m_end, [this] { sample(); });
        m_time.runUntil(m_end);
    }

    double worstShare() const { return m_worstShare; }
    double worstUrgentSeconds() const { return m_worstUrgentSeconds; }
    double busyFraction() const
    {
        return m_totalSlotSeconds
            / (double(SlotCount) * std::chrono::duration<double>(RunLength - WarmUp).count());
    }

private:
    void addGateway()
    {
        GatewayModel::Options options{.queues = {.startCharge = m_scenario.startCharge},
                                      .slots = SlotCount / m_scenario.gateways,
                                      .learnsRunTimes = m_scenario.learnsRunTimes};
        GatewayModel::Hooks hooks;
        hooks.runTime = [this](const QueuedRequest &request) { return drawRunTime(request); };
        hooks.ended = [](const QueuedRequest &, TimePoint) {};
        hooks.refused = [](const RefusedRequest &) {};
        m_gateways.push_back(std::make_unique<GatewayModel>(m_time, options, hooks));
        if (m_scenario.isFifo)
            return;
        for (const BenchTeam &team : m_scenario.teams)
            m_gateways.back()->queues().setWeight(team.name, team.weight);
    }

    std::size_t teamOf(const QueuedRequest &request) const
    {
        return std::size_t(request.id % m_scenario.teams.size());
    }

    Duration drawRunTime(const QueuedRequest &request)
    {
        const std::size_t team = teamOf(request);
        ++m_runningByTeam.at(team);
        if (request.isUrgent || m_urgentIds.contains(request.id)) {
            const std::chrono::duration<double> waited = m_time.now() - request.arrival;
            m_worstUrgentSeconds = std::max(m_worstUrgentSeconds, waited.count());
        }
        std::exponential_distribution<double> distribution(
            1.0 / double(m_scenario.teams[team].meanRunTime.count()));
        const Duration run(std::int64_t(distribution(m_random)) + 1);
        m_time.after(run, [this, team] { --m_runningByTeam.at(team); });
        return run;
    }

    // Most callers of a team use one gateway.
    GatewayModel &gatewayFor(std::size_t team)
    {
        std::uniform_int_distribution<std::size_t> anyGateway(0, m_gateways.size() - 1);
        std::bernoulli_distribution usesOwnGateway(0.7);
        return *m_gateways[usesOwnGateway(m_random) ? team % m_gateways.size()
                                                    : anyGateway(m_random)];
    }

    void submit(std::size_t team, bool isUrgentWork)
    {
        QueuedRequest request;
        request.id = m_nextId++ * m_scenario.teams.size() + team;
        request.team = m_scenario.isFifo ? "" : m_scenario.teams[team].name;
        request.arrival = m_time.now();
        request.deadline = m_time.now() + 10s;
        request.isUrgent = isUrgentWork && m_scenario.flagsUrgent;
        if (isUrgentWork)
            m_urgentIds.insert(request.id);
        gatewayFor(team).submit(std::move(request));
    }

    // Each team offers a load of OfferedLoad times an equal part of the slots.
    void scheduleArrival(std::size_t team)
    {
        const double meanRunTime = double(m_scenario.teams[team].meanRunTime.count());
        const double slots = OfferedLoad * double(SlotCount) / double(m_scenario.teams.size());
        std::exponential_distribution<double> distribution(slots / meanRunTime);
        m_time.after(Duration(std::int64_t(distribution(m_random)) + 1), [this, team] {
            submit(team, false);
            scheduleArrival(team);
        });
    }

    void scheduleUrgent()
    {
        repeat(m_time, 500ms, m_end, [this] { submit(m_scenario.teams.size() - 1, true); });
    }

    std::vector<std::int64_t> demandByGateway(const std::string &team)
    {
        std::vector<std::int64_t> wanted;
        for (const auto &gateway : m_gateways)
            wanted.push_back(std::int64_t(gateway->queues().count(team) + gateway->running(team)));
        return wanted;
    }

    static std::int64_t sum(const std::vector<std::int64_t> &values)
    {
        std::int64_t total = 0;
        for (const std::int64_t value : values)
            total += value;
        return total;
    }

    void lend()
    {
        if (m_scenario.lending == LendingMode::ByTeamDemand)
            lendByTeam();
        else
            lendByGateway();
        for (const auto &gateway : m_gateways)
            gateway->poll();
    }

    // Each gateway reports a single demand and divides its slots by the configured weights.
    void lendByGateway()
    {
        std::vector<ShareDemand> demands(m_gateways.size());
        for (const BenchTeam &team : m_scenario.teams) {
            const auto wanted = demandByGateway(team.name);
            for (std::size_t i = 0; i < wanted.size(); ++i)
                demands[i].wanted += wanted[i];
        }
        const auto lent = maxMinShare(SlotCount, demands);
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
            m_gateways[i]->setSlots(std::size_t(lent[i]));
    }

    // Computes the teams' shares first and splits each over the gateways in proportion to demand. A
    // gateway's slots are the sum of its parts of all teams, and the parts are its weights.
    void lendByTeam()
    {
        std::vector<std::vector<std::int64_t>> wanted;
        std::vector<ShareDemand> teamDemands;
        for (const BenchTeam &team : m_scenario.teams) {
            wanted.push_back(demandByGateway(team.name));
            teamDemands.push_back({.wanted = sum(wanted.back()), .weight = team.weight});
        }
        const auto teamShares = maxMinShare(SlotCount, teamDemands);
        std::vector<ShareDemand> parts(m_gateways.size(), {.wanted = SlotCount, .weight = 0});
        for (std::size_t team = 0; team < wanted.size(); ++team) {
            const double gateways = double(m_gateways.size());
            const double slotsPerDemand
                = double(teamShares[team]) / (double(sum(wanted[team])) + gateways);
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                const double part = double(wanted[team][i] + 1) * slotsPerDemand;
                parts[i].weight += std::uint32_t(1000 * part);
                m_gateways[i]->queues().setWeight(m_scenario.teams[team].name, part);
            }
        }
        const auto slots = maxMinShare(SlotCount, parts);
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
            m_gateways[i]->setSlots(std::size_t(slots[i]));
    }

    void sample()
    {
        if (m_time.now() <= m_windowStart)
            return;
        const double seconds = std::chrono::duration<double>(SamplePeriod).count();
        for (std::size_t team = 0; team < m_usedSlotSeconds.size(); ++team)
            m_usedSlotSeconds[team] += double(m_runningByTeam[team]) * seconds;
        if (m_time.now() < m_windowStart + WindowLength)
            return;
        closeWindow();
        m_windowStart = m_time.now();
    }

    void closeWindow()
    {
        double weights = 0;
        for (const BenchTeam &team : m_scenario.teams)
            weights += team.weight;
        for (std::size_t team = 0; team < m_usedSlotSeconds.size(); ++team) {
            const double share = double(SlotCount)
                * std::chrono::duration<double>(WindowLength).count()
                * m_scenario.teams[team].weight / weights;
            m_worstShare = std::min(m_worstShare, m_usedSlotSeconds[team] / share);
            m_totalSlotSeconds += m_usedSlotSeconds[team];
            m_usedSlotSeconds[team] = 0;
        }
    }

    Scenario m_scenario;
    VirtualTime m_time;
    std::mt19937_64 m_random{20261204};
    std::vector<std::unique_ptr<GatewayModel>> m_gateways;
    std::set<std::uint64_t> m_urgentIds;
    std::array<std::size_t, 16> m_runningByTeam{};
    std::vector<double> m_usedSlotSeconds;
    TimePoint m_windowStart;
    TimePoint m_end;
    std::uint64_t m_nextId = 0;
    double m_worstShare = 1e9;
    double m_worstUrgentSeconds = 0;
    double m_totalSlotSeconds = 0;
};

// Two large teams and four small ones. If `hasUnequalRunTimes`, run times range from 25 ms to
// 400 ms.
std::vector<BenchTeam> sixTeams(bool hasUnequalRunTimes)
{
    std::vector<BenchTeam> teams{{"t0", 2}, {"t1", 2}, {"t2", 1}, {"t3", 1}, {"t4", 1}, {"t5", 1}};
    if (hasUnequalRunTimes) {
        teams[0].meanRunTime = 25ms;
        teams[1].meanRunTime = 200ms;
        teams[2].meanRunTime = 50ms;
        teams[3].meanRunTime = 400ms;
    }
    return teams;
}

std::vector<Scenario> scenarios()
{
    const auto equalTeams = sixTeams(false);
    const auto unequalTeams = sixTeams(true);
    std::vector<Scenario> all{
        {.label = "1 gateway, first in first out, equal runs", .teams = equalTeams, .isFifo = true},
        {.label = "1 gateway, first in first out", .teams = unequalTeams, .isFifo = true},
        {.label = "1 gateway, fair by starts", .teams = unequalTeams, .learnsRunTimes = false},
        {.label = "1 gateway, fair by slot time, equal runs", .teams = equalTeams},
        {.label = "1 gateway, fair by slot time", .teams = unequalTeams},
        {.label = "1 gateway, no urgent lane", .teams = unequalTeams, .flagsUrgent = false},
        {.label = "8 gateways, fixed slots",
         .teams = unequalTeams,
         .gateways = 8,
         .lending = LendingMode::Fixed},
        {.label = "8 gateways, slots by demand",
         .teams = unequalTeams,
         .gateways = 8,
         .lending = LendingMode::ByDemand},
    };
    const Scenario byTeam{.label = "8 gateways, slots by team and demand",
                          .teams = unequalTeams,
                          .gateways = 8,
                          .lending = LendingMode::ByTeamDemand};
    for (const double charge : {1.0, 2.0, 4.0, 8.0}) {
        for (const Scenario &base : {all[4], byTeam}) {
            all.push_back(base);
            all.back().startCharge = charge;
            all.back().label += ", charge " + std::to_string(int(charge));
        }
    }
    for (const Duration lendPeriod :
         {Duration(50ms), Duration(100ms), Duration(250ms), Duration(1s)}) {
        all.push_back(byTeam);
        all.back().lendPeriod = lendPeriod;
        all.back().label += ", every " + std::to_string(lendPeriod.count() / 1000) + " ms";
    }
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    Report report("teamqueues", argc, argv);
    ChartSeries series{.name = "least part of share in 10 s"};
    for (const Scenario &scenario : scenarios()) {
        double share = 1;
        double busy = 0;
        double urgent = 0;
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            const FairnessRun run(scenario, seed);
            share = std::min(share, run.worstShare());
            busy += run.busyFraction() / double(SeedCount);
            urgent = std::max(urgent, run.worstUrgentSeconds());
        }
        report.add(scenario.label,
                   {{"worst_share_pct", 100 * share},
                    {"busy_pct", 100 * busy},
                    {"worst_urgent_start_s", urgent}});
        series.points.push_back({double(series.points.size() + 1), 100 * share});
    }
    writeSvgChart(report.outputPath("teamqueues.svg"),
                  {.title = "Closeness to share, all full",
                   .xLabel = "row of the table",
                   .yLabel = "worst team and window (%)"},
                  std::vector{series});
    return report.finish();
}
