// Best fit over a bounded number of candidates: of the first maxCandidates warm hosts with room, in
// the order of free processors, the algorithm takes the host whose free fractions of processors and
// memory stay closest, so that neither is stranded. The needs of jobs that found no room are
// remembered, and a job that needs at least as much of every resource is not tried.
#include "controller/placement.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <set>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxFailedNeeds = 64; // Remembered needs that found no room.

class Packer
{
public:
    Packer(const PlacementInput &input, const PlacementOptions &options)
        : m_input(input)
        , m_options(options)
        , m_room(input.hosts.size())
        , m_unlearned(input.hosts.size())
    {
        for (std::size_t i = 0; i < input.hosts.size(); ++i)
            addHost(i);
        std::sort(m_idle.begin(), m_idle.end(), [&](std::size_t a, std::size_t b) {
            return m_room[a].processors < m_room[b].processors;
        });
    }

    // Returns the host for a job, or the number of hosts if none has room.
    std::size_t place(const PlacementJob &job)
    {
        const std::size_t none = m_input.hosts.size();
        if (isKnownNotToFit(job.estimate))
            return none;
        std::size_t host = findWarmHost(job);
        if (host == none)
            host = useIdleHost(job);
        if (host != none)
            reserve(host, job);
        else if (job.isLearned)
            rememberFailure(job.estimate);
        return host;
    }

    bool couldEverFit(const Resources &need) const
    {
        return std::any_of(m_hostShapes.begin(), m_hostShapes.end(),
                           [&](const Resources &shape) { return need.fitsInto(shape); });
    }

    std::size_t warmCount() const { return m_warm.size(); }
    const Resources &total() const { return m_total; }

private:
    void addHost(std::size_t index)
    {
        const PlacementHost &host = m_input.hosts[index];
        m_total += host.capacity;
        const Resources fill = fillableCapacity(host.capacity);
        if (std::find(m_hostShapes.begin(), m_hostShapes.end(), fill) == m_hostShapes.end())
            m_hostShapes.push_back(fill);
        if (!host.isOpen)
            return;
        m_room[index] = fill;
        m_room[index] -= host.load;
        m_unlearned[index] = host.unlearned;
        if (host.isWarm)
            m_warm.emplace(m_room[index].processors, index);
        else
            m_idle.push_back(index);
    }

    // fillLimit does not apply to accelerators, which are whole devices.
    Resources fillableCapacity(const Resources &capacity) const
    {
        Resources fill = capacity * m_options.fillLimit;
        fill.accelerators = capacity.accelerators;
        return fill;
    }

    bool isKnownNotToFit(const Resources &need) const
    {
        return std::any_of(m_failedNeeds.begin(), m_failedNeeds.end(),
                           [&](const Resources &failed) { return failed.fitsInto(need); });
    }

    void rememberFailure(const Resources &need)
    {
        std::erase_if(m_failedNeeds,
                      [&](const Resources &failed) { return need.fitsInto(failed); });
        if (m_failedNeeds.size() < MaxFailedNeeds)
            m_failedNeeds.push_back(need);
    }

    bool hasRoom(std::size_t host, const PlacementJob &job) const
    {
        return job.estimate.fitsInto(m_room[host])
            && (job.isLearned || m_unlearned[host] < m_options.maxUnlearned);
    }

    std::size_t findWarmHost(const PlacementJob &job) const
    {
        const Resources &need = job.estimate;
        std::size_t best = m_input.hosts.size();
        double bestSkew = 0;
        std::size_t seen = 0;
        for (auto it = m_warm.lower_bound({need.processors, 0}); it != m_warm.end(); ++it) {
            if (!hasRoom(it->second, job))
                continue;
            const double skew = skewAfter(it->second, need);
            if (best == m_input.hosts.size() || skew < bestSkew) {
                best = it->second;
                bestSkew = skew;
            }
            if (++seen >= m_options.maxCandidates)
                break;
        }
        return best;
    }

    // Returns the difference between the host's free fractions of processors and memory once the
    // job has started.
    double skewAfter(std::size_t host, const Resources &need) const
    {
        const Resources &capacity = m_input.hosts[host].capacity;
        const double processors = (m_room[host].processors - need.processors) / capacity.processors;
        const double memory = (m_room[host].memory - need.memory) / capacity.memory;
        return std::abs(processors - memory);
    }

    std::size_t useIdleHost(const PlacementJob &job)
    {
        const auto found = std::find_if(m_idle.begin(), m_idle.end(),
                                        [&](std::size_t host) { return hasRoom(host, job); });
        if (found == m_idle.end())
            return m_input.hosts.size();
        const std::size_t host = *found;
        m_idle.erase(found);
        m_warm.emplace(m_room[host].processors, host);
        return host;
    }

    void reserve(std::size_t host, const PlacementJob &job)
    {
        m_warm.erase({m_room[host].processors, host});
        m_room[host] -= job.estimate;
        m_unlearned[host] += job.isLearned ? 0 : 1;
        m_warm.emplace(m_room[host].processors, host);
    }

    const PlacementInput &m_input;
    const PlacementOptions &m_options;
    std::vector<Resources> m_room;
    std::vector<std::uint32_t> m_unlearned;
    std::set<std::pair<double, std::size_t>> m_warm; // Ordered by free processors.
    std::vector<std::size_t> m_idle; // Ordered by free processors.
    std::vector<Resources> m_hostShapes; // Distinct fillable capacities of empty hosts.
    std::vector<Resources> m_failedNeeds;
    Resources m_total;
};

struct TeamQueue
{
    std::vector<std::size_t> jobs; // Highest priority first.
    std::size_t next = 0;
    Resources used;
    std::uint32_t running = 0;
};

class Placer
{
public:
    Placer(const PlacementInput &input, const PlacementOptions &options)
        : m_input(input)
        , m_packer(input, options)
        , m_teams(input.teams.size())
    {
        for (std::size_t i = 0; i < input.teams.size(); ++i) {
            m_teams[i].used = input.teams[i].used;
            m_teams[i].running = input.teams[i].running;
        }
        for (std::size_t i = 0; i < input.jobs.size(); ++i)
            m_teams[input.jobs[i].team].jobs.push_back(i);
    }

    PlacementPlan run()
    {
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            std::vector<std::size_t> &jobs = m_teams[team].jobs;
            std::stable_sort(jobs.begin(), jobs.end(), [&](std::size_t a, std::size_t b) {
                return m_input.jobs[a].priority > m_input.jobs[b].priority;
            });
            enqueue(team);
        }
        while (!m_queue.empty()) {
            const std::size_t team = m_queue.top().second;
            m_queue.pop();
            placeNext(team);
            enqueue(team);
        }
        m_plan.warmHosts = m_packer.warmCount();
        return std::move(m_plan);
    }

private:
    void enqueue(std::size_t team)
    {
        const TeamQueue &queue = m_teams[team];
        if (queue.next == queue.jobs.size())
            return;
        const double share = m_input.teams[team].share;
        m_queue.emplace(dominantShare(queue.used, m_packer.total()) / share, team);
    }

    void placeNext(std::size_t team)
    {
        TeamQueue &queue = m_teams[team];
        const std::size_t job = queue.jobs[queue.next++];
        const Resources &need = m_input.jobs[job].estimate;
        const std::uint32_t ceiling = m_input.teams[team].ceiling;
        if (!m_packer.couldEverFit(need)) {
            addWaiting(job, ResultCode::JobNeverFits, "needs more than any host of the pool has");
        } else if (ceiling > 0 && queue.running >= ceiling) {
            addWaiting(job, ResultCode::TeamCeilingReached, "team runs its ceiling");
        } else if (const std::size_t host = m_packer.place(m_input.jobs[job]);
                   host < m_input.hosts.size()) {
            m_plan.assignments.push_back({job, host});
            queue.used += need;
            ++queue.running;
        } else {
            addWaiting(job, ResultCode::JobWaiting, "no host has room now");
        }
    }

    void addWaiting(std::size_t job, ResultCode code, const char *reason)
    {
        m_plan.waiting.push_back({job, code, reason});
    }

    // Weighted dominant share and team index; the lowest goes first.
    using Entry = std::pair<double, std::size_t>;

    const PlacementInput &m_input;
    Packer m_packer;
    std::vector<TeamQueue> m_teams;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_queue;
    PlacementPlan m_plan;
};

} // namespace

PlacementPlan planPlacement(const PlacementInput &input, const PlacementOptions &options)
{
    return Placer(input, options).run();
}

} // namespace sequoiapier
