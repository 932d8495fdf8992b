// FullSystem: a whole system with several gateways, two schedulers, two services and six teams, of
// which two are large, and a load that fills it, for tests and benchmarks of shares.
//
//   FullSystem full("shares", {.gateways = 4});
//   ASSERT_TRUE(full.start());
//   TeamLoad load(full.streams(2), seed);
//   load.run({{.length = seconds(12)}});
//
// Each team requests `factor` times its share of each service. Seven tenths of a team's callers use
// one gateway, a different one for each team, and the others are spread over the other gateways.
#pragma once

#include "testing/support/localsystem.h"
#include "testing/support/runspans.h"
#include "testing/support/teamload.h"

namespace sequoiapier {

struct TeamSetup
{
    std::string name;
    std::uint32_t share = 1;
    std::uint32_t ceiling = 0;
    std::chrono::milliseconds meanWork{100};
};

class FullSystem
{
public:
    struct Options
    {
        unsigned gateways = 4;
        unsigned runnersPerService = 3;
        std::chrono::milliseconds deadline{2'000};
        std::vector<TeamSetup> teams = sixTeams();
    };

    static constexpr std::uint32_t SlotsPerRunner = 8;

    FullSystem(const std::string &name, Options options);

    bool start();

    // The teams: two are large, run times are 100 to 320 ms, and one may have a ceiling below its
    // share.
    static std::vector<TeamSetup> sixTeams(std::uint32_t ceiling = 0);
    std::vector<TeamStream> streams(double factor) const;
    // A stream of one urgent request per second of `team`, through the gateway that has the fewest
    // of its callers.
    TeamStream urgentStream(const std::string &team) const;
    std::vector<GatewayWeight> gatewayWeights(std::size_t team) const;

    LocalSystem &system() { return m_system; }
    const Options &options() const { return m_options; }
    static std::vector<std::string> services() { return {"prices", "returns"}; }
    std::int64_t slotsPerService() const
    {
        return std::int64_t(m_options.runnersPerService) * SlotsPerRunner;
    }
    std::optional<RunSpans> spans() const;

private:
    std::string runnerName(const std::string &service, unsigned index) const;
    std::string gatewayName(unsigned index) const;
    Configuration configuration();
    double shareOf(const TeamSetup &team) const; // share of one service, in slots

    Options m_options;
    LocalSystem m_system;
};

// The lowest fraction of its weighted max-min share that a team got in a window of a full system.
struct WorstShare
{
    double fraction = 1e9;
    std::string what; // team, queue and start of the window, as text
};

// Evaluates all teams and services in all windows of `length` between `from` and `until`, which
// start half a second apart. A team's ceiling limits it over all services together; the other teams
// share what it leaves.
WorstShare worstShare(const FullSystem &full, const RunSpans &spans, TimePoint from,
                      TimePoint until, Duration length = std::chrono::seconds(10));

} // namespace sequoiapier
