// Successive shortest paths. The first potentials come from one pass in topological order, which
// allows negative costs; each path is then found by Dijkstra's algorithm on reduced costs. The cost
// is O(p e log n) for p paths, e edges and n nodes; a path carries as many units as fit.
#include "fleet/minimumcostflow.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>
#include <utility>

namespace sequoiapier {

namespace {

constexpr double Unreached = std::numeric_limits<double>::infinity();
constexpr double Tolerance = 1e-9;

} // namespace

MinimumCostFlow::MinimumCostFlow(std::size_t nodeCount)
    : m_outgoing(nodeCount)
{ }

std::size_t MinimumCostFlow::addEdge(std::size_t from, std::size_t to, std::int64_t capacity,
                                     double cost)
{
    const std::size_t index = m_edges.size();
    m_outgoing[from].push_back(index);
    m_edges.push_back({to, capacity, cost});
    m_outgoing[to].push_back(index + 1);
    m_edges.push_back({from, 0, -cost});
    return index;
}

double MinimumCostFlow::send(std::size_t source, std::size_t sink, std::int64_t units)
{
    findPotentials(source);
    double cost = 0;
    while (m_sent < units && findPath(source, sink)) {
        for (std::size_t node = 0; node < m_potentials.size(); ++node) {
            if (m_distances[node] < Unreached)
                m_potentials[node] += m_distances[node];
        }
        const std::int64_t sent = augment(source, sink, units - m_sent);
        m_sent += sent;
        cost += double(sent) * (m_potentials[sink] - m_potentials[source]);
    }
    return cost;
}

std::int64_t MinimumCostFlow::unitsOn(std::size_t edge) const
{
    return m_edges[edge + 1].capacity;
}

void MinimumCostFlow::findPotentials(std::size_t source)
{
    m_potentials.assign(m_outgoing.size(), Unreached);
    m_potentials[source] = 0;
    for (std::size_t node = source; node < m_outgoing.size(); ++node) {
        if (m_potentials[node] == Unreached)
            continue;
        for (const std::size_t index : m_outgoing[node]) {
            const Edge &edge = m_edges[index];
            if (edge.capacity > 0)
                m_potentials[edge.to]
                    = std::min(m_potentials[edge.to], m_potentials[node] + edge.cost);
        }
    }
}

bool MinimumCostFlow::findPath(std::size_t source, std::size_t sink)
{
    using Entry = std::pair<double, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
    m_distances.assign(m_outgoing.size(), Unreached);
    m_incomingEdges.assign(m_outgoing.size(), 0);
    m_distances[source] = 0;
    queue.emplace(0, source);
    while (!queue.empty()) {
        const auto [distance, node] = queue.top();
        queue.pop();
        if (distance > m_distances[node])
            continue;
        for (const std::size_t index : m_outgoing[node]) {
            const Edge &edge = m_edges[index];
            if (edge.capacity == 0 || m_potentials[edge.to] == Unreached)
                continue;
            const double reduced = edge.cost + m_potentials[node] - m_potentials[edge.to];
            const double next = distance + std::max(0.0, reduced);
            if (next + Tolerance < m_distances[edge.to]) {
                m_distances[edge.to] = next;
                m_incomingEdges[edge.to] = index;
                queue.emplace(next, edge.to);
            }
        }
    }
    return m_distances[sink] < Unreached;
}

std::int64_t MinimumCostFlow::augment(std::size_t source, std::size_t sink, std::int64_t units)
{
    const auto origin = [this](std::size_t index) { return m_edges[index ^ 1].to; };
    for (std::size_t node = sink; node != source; node = origin(m_incomingEdges[node]))
        units = std::min(units, m_edges[m_incomingEdges[node]].capacity);
    for (std::size_t node = sink; node != source; node = origin(m_incomingEdges[node])) {
        m_edges[m_incomingEdges[node]].capacity -= units;
        m_edges[m_incomingEdges[node] ^ 1].capacity += units;
    }
    return units;
}

} // namespace sequoiapier
