#include "controller/preemptionplanner.h"

#include <algorithm>

namespace sequoiapier {

namespace {

Resources roomOf(const PlacementHost &host, double fillLimit)
{
    Resources room = host.capacity * fillLimit;
    room.accelerators = host.capacity.accelerators;
    room -= host.load;
    return room;
}

} // namespace

std::vector<std::size_t>
PreemptionPlanner::preempt(const Resources &need, std::span<PlacementHost> hosts, double fillLimit)
{
    std::size_t best = hosts.size();
    std::size_t bestCount = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!hosts[i].isOpen)
            continue;
        std::stable_sort(m_runs[i].begin(), m_runs[i].end(),
                         [](const Run &a, const Run &b) { return a.priority < b.priority; });
        Resources room = roomOf(hosts[i], fillLimit);
        room += m_stopping[i];
        const std::size_t count = countNeeded(i, need, room);
        if (count <= m_runs[i].size() && (best == hosts.size() || count < bestCount)) {
            best = i;
            bestCount = count;
        }
    }
    std::vector<std::size_t> stops;
    if (best == hosts.size())
        return stops;
    hosts[best].load += need;
    std::vector<Run> &runs = m_runs[best];
    for (std::size_t i = 0; i < bestCount; ++i) {
        stops.push_back(runs[i].job);
        m_stopping[best] += runs[i].load;
    }
    runs.erase(runs.begin(), runs.begin() + std::ptrdiff_t(bestCount));
    return stops;
}

std::size_t PreemptionPlanner::countNeeded(std::size_t host, const Resources &need,
                                           Resources room) const
{
    std::size_t count = 0;
    for (const Run &run : m_runs[host]) {
        if (need.fitsInto(room))
            return count;
        room += run.load;
        ++count;
    }
    return need.fitsInto(room) ? count : count + 1;
}

} // namespace sequoiapier
