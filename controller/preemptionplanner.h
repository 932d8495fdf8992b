// PreemptionPlanner: chooses the runs to stop so that an urgent job finds room in a full pool.
//
//   PreemptionPlanner planner(hostCount);
//   planner.addRun(host, {.job = 7, .priority = 3, .load = load}); // rerunnable and not urgent
//   planner.addStopping(host, load);                               // already being stopped
//   std::vector<std::size_t> stops = planner.preempt(need, hosts, 0.9);
//
// The choice depends only on the input, so that later ticks choose the same runs until they have
// ended.
#pragma once

#include "controller/placement.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sequoiapier {

class PreemptionPlanner
{
public:
    struct Run
    {
        std::size_t job = 0;
        std::uint32_t priority = 0;
        Resources load;
    };

    explicit PreemptionPlanner(std::size_t hostCount)
        : m_runs(hostCount)
        , m_stopping(hostCount)
    { }

    void addRun(std::size_t host, const Run &run) { m_runs[host].push_back(run); }
    void addStopping(std::size_t host, const Resources &load) { m_stopping[host] += load; }

    // Returns the jobs to stop, on the open host that needs the fewest stops, lowest priority
    // first, and reserves `need` in the load of that host. The result is empty if no host can be
    // freed, or if runs that are already being stopped free one. Cost: O(n log n) for n runs.
    std::vector<std::size_t> preempt(const Resources &need, std::span<PlacementHost> hosts,
                                     double fillLimit);

private:
    // Returns how many of the host's runs, in order, must be stopped, or a number above their count
    // if stopping all of them is not enough.
    std::size_t countNeeded(std::size_t host, const Resources &need, Resources room) const;

    std::vector<std::vector<Run>> m_runs; // By host index.
    std::vector<Resources> m_stopping; // Total load of stopping runs, by host index.
};

} // namespace sequoiapier
