// MinimumCostFlow: finds the cheapest way to send units through a directed acyclic graph.
//
//   MinimumCostFlow flow(nodeCount);
//   std::size_t edge = flow.addEdge(from, to, capacity, cost); // from < to
//   double cost = flow.send(source, sink, units);
//   std::int64_t used = flow.unitsOn(edge);
//
// Costs may be negative. Nodes are numbered in topological order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sequoiapier {

class MinimumCostFlow
{
public:
    explicit MinimumCostFlow(std::size_t nodeCount);

    // Returns the edge's index. Requires from < to.
    std::size_t addEdge(std::size_t from, std::size_t to, std::int64_t capacity, double cost);
    // Sends up to `units` from source to sink and returns their cost. May be called once for each
    // graph.
    double send(std::size_t source, std::size_t sink, std::int64_t units);
    std::int64_t unitsOn(std::size_t edge) const;
    std::int64_t sentUnits() const { return m_sent; }

private:
    struct Edge
    {
        std::size_t to = 0;
        std::int64_t capacity = 0; // remaining capacity
        double cost = 0;
    };

    void findPotentials(std::size_t source);
    bool findPath(std::size_t source, std::size_t sink);
    std::int64_t augment(std::size_t source, std::size_t sink, std::int64_t units);

    std::vector<Edge> m_edges; // each edge is followed by its reverse
    std::vector<std::vector<std::size_t>> m_outgoing;
    std::vector<double> m_potentials;
    std::vector<double> m_distances;
    std::vector<std::size_t> m_incomingEdges; // edge by which the current path reaches each node
    std::int64_t m_sent = 0;
};

} // namespace sequoiapier
