// Simulates ten minutes without the table under swinging demand, and measures how much of the
// capacity stays in use and how close each borrower is to its share, for each variant of lending
// during the outage.
//
// usable_pct: running units divided by min(capacity, demand), summed over the outage and all
// resources. share_error_pct: units that run at the wrong borrower, as a percentage of the
// capacity, while demand exceeds it. over_capacity: 1 if units in use plus units that could be
// taken ever exceeded the capacity.
#include "bench/support/report.h"
#include "sequoiapier/maxminshare.h"
#include "testing/support/lendingworld.h"

#include <array>
#include <cmath>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Borrowers = 8;
constexpr int Lenders = 3;
constexpr int Resources = 5;
constexpr std::int64_t Capacity = 80;
constexpr double MeanDemand = 24; // units per resource; five times this exceeds the capacity
constexpr milliseconds Step{100};
constexpr int StepsPerSwing = 40;
constexpr int OutageSteps = 6'000;
constexpr int KillStep = 2'000;
constexpr int PauseStep = 3'000;
constexpr int ResumeStep = 3'300;
constexpr std::uint64_t Seed = 20'261'204;

struct Variant
{
    const char *name;
    Duration outageTerm;
    bool lendsPastTerm;
    std::int64_t floor; // units per borrower and resource that are never lent to others
};

struct Scenario
{
    const char *name;
    bool killsLender;
    bool pausesBorrower;
    bool isSkewed; // at each swing one borrower gets about half of the callers
};

class OutageRun
{
public:
    OutageRun(const Variant &variant, const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(Seed)
        , m_world(worldOptions(variant), Seed)
    { }

    std::vector<Measure> run()
    {
        for (int i = 0; i < 10 * StepsPerSwing; ++i)
            step();
        m_world.table().setOutage(true);
        m_isMeasured = true;
        for (int i = 0; i < OutageSteps; ++i) {
            applyFaults(i);
            step();
        }
        m_isMeasured = false;
        m_world.table().setOutage(false);
        for (int i = 0; i < 5 * StepsPerSwing; ++i)
            step();
        return {{"usable_pct", 100 * m_runningUnits / m_usableUnits},
                {"share_error_pct", 100 * m_misplacedUnits / m_contendedUnits},
                {"over_capacity", m_world.overload().empty() ? 0.0 : 1.0}};
    }

private:
    static LendingWorld::Options worldOptions(const Variant &variant)
    {
        LendingWorld::Options options{.lenders = Lenders, .borrowers = Borrowers};
        options.resources = Resources;
        options.floor = variant.floor;
        options.capacity = Capacity - Borrowers * variant.floor;
        options.outageTerm = variant.outageTerm;
        options.lendsPastTerm = variant.lendsPastTerm;
        options.minWork = milliseconds(200);
        options.maxWork = milliseconds(1'000);
        return options;
    }

    void applyFaults(int step)
    {
        if (m_scenario.killsLender && step == KillStep)
            m_world.killLender(busiestLender());
        if (m_scenario.pausesBorrower && (step == PauseStep || step == ResumeStep)) {
            m_isPaused = step == PauseStep;
            m_world.setPaused(*m_world.borrower(0).actions, m_isPaused);
        }
    }

    int busiestLender()
    {
        int busiest = 0;
        for (int i = 1; i < Lenders; ++i) {
            if (m_world.lender(i).lenders.size() > m_world.lender(busiest).lenders.size())
                busiest = i;
        }
        return busiest;
    }

    void step()
    {
        if (m_step % StepsPerSwing == 0)
            drawCallerShares();
        for (int resource = 0; resource < Resources; ++resource)
            setDemands(resource);
        m_world.run(Step);
        if (m_isMeasured) {
            for (int resource = 0; resource < Resources; ++resource)
                measure(resource);
        }
        ++m_step;
    }

    // The load balancer spreads callers unevenly, in a different way at each swing.
    void drawCallerShares()
    {
        std::uniform_real_distribution<double> share(0.2, 1.8);
        for (double &value : m_callerShares)
            value = share(m_random);
        if (m_scenario.isSkewed)
            m_callerShares[m_random() % Borrowers] += Borrowers;
    }

    void setDemands(int resource)
    {
        const bool isPeak = m_step / StepsPerSwing % Resources == resource;
        const double total = isPeak ? 5 * MeanDemand : MeanDemand / 20;
        double shareSum = 0;
        for (int i = m_isPaused ? 1 : 0; i < Borrowers; ++i)
            shareSum += m_callerShares[std::size_t(i)];
        for (int i = 0; i < Borrowers; ++i) {
            const bool hasNoCallers = m_isPaused && i == 0;
            const double units
                = hasNoCallers ? 0 : total * m_callerShares[std::size_t(i)] / shareSum;
            const auto wanted = std::int64_t(std::ceil(units));
            m_world.setDemand(i, resource, wanted);
            m_demands[std::size_t(resource)][std::size_t(i)] = {wanted, 1};
        }
    }

    void measure(int resource)
    {
        const auto &demands = m_demands[std::size_t(resource)];
        const std::vector<std::int64_t> ideal = maxMinShare(Capacity, demands);
        std::int64_t demand = 0;
        std::int64_t shortfall = 0;
        std::int64_t running = 0;
        for (int i = 0; i < Borrowers; ++i) {
            const std::string name = LendingWorld::resourceName(resource);
            const std::int64_t units = m_world.borrower(i).loans.at(name).running;
            demand += demands[std::size_t(i)].wanted;
            running += std::min(units, demands[std::size_t(i)].wanted);
            shortfall += std::max<std::int64_t>(0, ideal[std::size_t(i)] - units);
        }
        m_runningUnits += double(std::min(running, Capacity));
        m_usableUnits += double(std::min(demand, Capacity));
        if (demand > Capacity) {
            m_misplacedUnits += double(shortfall);
            m_contendedUnits += double(Capacity);
        }
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    LendingWorld m_world;
    std::array<double, Borrowers> m_callerShares{};
    std::array<std::array<ShareDemand, Borrowers>, Resources> m_demands{};
    int m_step = 0;
    bool m_isMeasured = false;
    bool m_isPaused = false;
    double m_runningUnits = 0;
    double m_usableUnits = 0;
    double m_misplacedUnits = 0;
    double m_contendedUnits = 0;
};

constexpr auto Variants = std::to_array<Variant>({
    {"leases lapse", Duration{}, false, 0},
    {"floors of half the units", Duration{}, false, 5},
    {"floors of all units", Duration{}, false, 10},
    {"standing loans", std::chrono::minutes(15), false, 0},
    {"lend on", std::chrono::minutes(15), true, 0},
});

constexpr auto Scenarios = std::to_array<Scenario>({
    {"all alive", false, false, false},
    {"lender killed", true, false, false},
    {"borrower paused", false, true, false},
    {"lender killed, borrower paused", true, true, false},
    {"skewed, all alive", false, false, true},
    {"skewed, lender killed", true, false, true},
});

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    using namespace sequoiapier;
    Report report("outage", argc, argv);
    for (const Variant &variant : Variants) {
        for (const Scenario &scenario : Scenarios)
            report.add(std::string(variant.name) + ", " + scenario.name,
                       OutageRun(variant, scenario).run());
    }
    return report.finish();
}
