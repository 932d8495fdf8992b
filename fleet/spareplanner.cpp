// A minimum-cost flow of hosts through time, in which a node is a pool at a step. A host that stays
// in a pool that needs it earns the price of a missing host; one that stays beyond the need costs
// the price of a surplus host. Moves pass through one exchange node at each step, so that the
// number of edges grows with the number of pools and not with its square.
#include "fleet/spareplanner.h"

#include "fleet/minimumcostflow.h"

#include <utility>

namespace sequoiapier {

namespace {

class FlowModel
{
public:
    FlowModel(const SpareInput &input, const FleetWeights &weights)
        : m_input(input)
        , m_weights(weights)
        , m_pools(input.pools.size())
        , m_steps(m_pools == 0 ? 0 : input.pools.front().need.size())
        , m_flow((m_pools + 1) * (m_steps + 1) + 2)
    {
        addHosts();
        for (std::size_t step = 0; step < m_steps; ++step) {
            addStays(step);
            addMoves(step);
        }
        for (std::size_t pool = 0; pool < m_pools; ++pool)
            m_flow.addEdge(node(pool, m_steps), sink(), m_hosts, 0);
    }

    SparePlan solve()
    {
        m_flow.send(0, sink(), m_hosts);
        SparePlan plan;
        for (const StayEdges &stay : m_stays) {
            plan.bufferSeconds += m_input.stepSeconds * double(m_flow.unitsOn(stay.surplusEdge))
                * (m_input.pools[stay.pool].isStandby ? 0 : 1);
            const std::uint32_t need = m_input.pools[stay.pool].need[stay.step];
            plan.shortSeconds
                += m_input.stepSeconds * double(need - m_flow.unitsOn(stay.neededEdge));
        }
        for (const std::size_t edge : m_entryEdges)
            plan.moves += std::uint64_t(m_flow.unitsOn(edge));
        plan.bufferSeconds += transitSeconds() * double(plan.moves);
        plan.now = transfers();
        return plan;
    }

private:
    struct StayEdges
    {
        std::size_t pool;
        std::size_t step;
        std::size_t neededEdge;
        std::size_t surplusEdge;
    };

    std::size_t node(std::size_t pool, std::size_t step) const
    {
        return 1 + step * (m_pools + 1) + pool;
    }
    std::size_t exchange(std::size_t step) const { return node(m_pools, step); }
    std::size_t sink() const { return 1 + (m_steps + 1) * (m_pools + 1); }
    double transitSeconds() const { return m_input.stepSeconds * double(m_input.moveSteps); }

    void addHosts()
    {
        for (std::size_t pool = 0; pool < m_pools; ++pool) {
            const PoolForecast &forecast = m_input.pools[pool];
            addHosts(pool, 0, forecast.hosts);
            for (std::size_t step = 0; step < forecast.arriving.size() && step < m_steps; ++step)
                addHosts(pool, step, forecast.arriving[step]);
        }
    }

    void addHosts(std::size_t pool, std::size_t step, std::uint32_t count)
    {
        if (count == 0)
            return;
        m_flow.addEdge(0, node(pool, step), count, 0);
        m_hosts += count;
    }

    void addStays(std::size_t step)
    {
        for (std::size_t pool = 0; pool < m_pools; ++pool) {
            const PoolForecast &forecast = m_input.pools[pool];
            const std::size_t from = node(pool, step);
            const std::size_t to = node(pool, step + 1);
            const double seconds = m_input.stepSeconds;
            const double surplusPrice = forecast.isStandby ? 0 : m_weights.buffer * seconds;
            const std::size_t needed
                = m_flow.addEdge(from, to, forecast.need[step], -m_weights.share * seconds);
            m_stays.push_back(
                {pool, step, needed, m_flow.addEdge(from, to, m_hosts, surplusPrice)});
        }
    }

    void addMoves(std::size_t step)
    {
        const std::size_t arrival = step + m_input.moveSteps;
        if (arrival > m_steps)
            return;
        const double price = m_weights.move + m_weights.buffer * transitSeconds();
        for (std::size_t pool = 0; pool < m_pools; ++pool) {
            m_exitEdges.push_back(m_flow.addEdge(node(pool, step), exchange(step), m_hosts, 0));
            m_entryEdges.push_back(
                m_flow.addEdge(exchange(step), node(pool, arrival), m_hosts, price));
        }
    }

    // Pairs the hosts that leave pools at the first step with those that enter pools.
    std::vector<HostTransfer> transfers() const
    {
        std::vector<HostTransfer> transfers;
        if (m_exitEdges.empty())
            return transfers;
        std::vector<std::int64_t> entering;
        for (std::size_t pool = 0; pool < m_pools; ++pool)
            entering.push_back(m_flow.unitsOn(m_entryEdges[pool]));
        for (std::size_t from = 0; from < m_pools; ++from) {
            std::int64_t leaving = m_flow.unitsOn(m_exitEdges[from]);
            for (std::size_t to = 0; to < m_pools && leaving > 0; ++to) {
                const std::int64_t count = std::min(leaving, entering[to]);
                if (count == 0 || from == to)
                    continue;
                transfers.push_back({from, to, std::uint32_t(count)});
                leaving -= count;
                entering[to] -= count;
            }
        }
        return transfers;
    }

    const SpareInput &m_input;
    const FleetWeights &m_weights;
    std::size_t m_pools;
    std::size_t m_steps;
    MinimumCostFlow m_flow;
    std::int64_t m_hosts = 0;
    std::vector<StayEdges> m_stays;
    // Edges from pools to the exchange node; those of the first step come first.
    std::vector<std::size_t> m_exitEdges;
    std::vector<std::size_t> m_entryEdges;
};

} // namespace

SparePlan planHostTransfers(const SpareInput &input, const FleetWeights &weights)
{
    return FlowModel(input, weights).solve();
}

} // namespace sequoiapier
