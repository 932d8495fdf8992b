// PreemptionPlanner: which runs to stop so that an urgent job finds room on a full pool.
//
//   PreemptionPlanner planner(hostCount);
//   planner.addRun(host, {.job = 7, .priority = 3, .load = load}); // may be run again, not urgent
//   planner.addStopping(host, load);                                // is being stopped already
//   std::vector<std::size_t> stops = planner.preempt(need, hosts, 0.9);
//
// The choice depends on the input only, so that a turn after the next stops the same runs until
// they have ended.
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

    // Stops the fewest runs, those of the lowest priority first, and reserves `need` in the load of
    // their host. Empty if no host can be freed, or if runs that are leaving free one. O(n log n)
    // in the runs.
    std::vector<std::size_t> preempt(const Resources &need, std::span<PlacementHost> hosts,
                                     double fillLimit);

private:
    // How many of the host's runs, in order, have to be stopped; more than there are if all are not
    // enough.
    std::size_t countNeeded(std::size_t host, const Resources &need, Resources room) const;

    std::vector<std::vector<Run>> m_runs; // by host
    std::vector<Resources> m_stopping; // by host
};

} // namespace sequoiapier
