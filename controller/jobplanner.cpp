// The reports are applied first, since ended runs free units of the teams' ceilings. Urgent jobs
// are placed next and all others last, on host loads computed from the rows and the newest reports.
// An urgent job that finds no room preempts rerunnable runs, and the room is reserved for it. A job
// is impossible only if neither its declared size nor the observed usage of its class fits any
// host, open or not.
#include "controller/jobplanner.h"

#include "controller/hostload.h"
#include "controller/preemptionplanner.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sequoiapier {

namespace {

Resources componentwiseMin(const Resources &a, const Resources &b)
{
    return {.processors = std::min(a.processors, b.processors),
            .memory = std::min(a.memory, b.memory),
            .accelerators = std::min(a.accelerators, b.accelerators)};
}

std::string sizeText(const Resources &size)
{
    char text[128];
    std::snprintf(text, sizeof text, "%g processors, %g GB, %g accelerators", size.processors,
                  size.memory, size.accelerators);
    return text;
}

class TickPlanner
{
public:
    TickPlanner(const JobTickInput &input, const JobTickOptions &options)
        : m_input(input)
        , m_options(options)
        , m_preemption(input.hosts.size())
    {
        for (std::size_t i = 0; i < input.hosts.size(); ++i)
            m_hostIndex[input.hosts[i].name] = i;
        for (const JobTeam &team : input.teams)
            addTeam(team);
    }

    JobTickPlan run()
    {
        m_running.resize(m_input.hosts.size());
        m_unlearned.resize(m_input.hosts.size());
        for (std::size_t i = 0; i < m_input.jobs.size(); ++i) {
            if (m_input.jobs[i].row.isPlaced())
                updatePlaced(i);
            else
                m_waiting[m_input.jobs[i].row.isUrgent ? 0 : 1].push_back(i);
        }
        addHosts();
        for (const std::vector<std::size_t> &jobs : m_waiting)
            place(jobs);
        return std::move(m_plan);
    }

private:
    std::size_t addTeam(const JobTeam &team)
    {
        const auto count = m_input.teamCounts.find(team.name);
        m_teamIndex[team.name] = m_teams.size();
        m_teams.push_back({.name = team.name,
                           .share = team.share,
                           .running = count != m_input.teamCounts.end() ? count->second.placed : 0,
                           .ceiling = team.ceiling});
        return m_teams.size() - 1;
    }

    // Adds a team that is no longer configured but still has jobs.
    std::size_t teamOf(const JobRow &row)
    {
        const auto found = m_teamIndex.find(row.team);
        return found != m_teamIndex.end() ? found->second : addTeam({.name = row.team});
    }

    const TaskReport *reportOf(const JobRow &row) const
    {
        const auto found = m_input.reports.find(taskName(row));
        const bool isCurrent
            = found != m_input.reports.end() && found->second.id.attempt == row.attempt;
        return isCurrent ? &found->second : nullptr;
    }

    void updatePlaced(std::size_t index)
    {
        const JobRow &row = m_input.jobs[index].row;
        const TaskReport *report = reportOf(row);
        std::optional<JobRow> next
            = report != nullptr ? nextJobStep(row, *report, m_options.step) : std::nullopt;
        if (next && reserveChange()) {
            const bool isStillPlaced = next->isPlaced();
            addChange(index, std::move(*next));
            if (!isStillPlaced) {
                releaseCeilingUnit(row);
                return;
            }
        }
        const RunningJob run{.estimate = estimate(row),
                             .startedAt = m_input.startedAt({taskName(row), row.attempt}),
                             .reported = report != nullptr ? report->used : std::nullopt};
        addLoad(row, run);
        if (report != nullptr && report->state != TaskState::Running)
            return;
        m_plan.running.push_back(index);
        const bool isStopping = row.state == JobState::Stopping || mustBeEvicted(row);
        if (isStopping)
            m_plan.stops.push_back(index);
        else if (report == nullptr && row.state == JobState::Placed)
            m_plan.restarts.push_back(index);
        addToPreemption(index, run, isStopping);
    }

    void addToPreemption(std::size_t index, const RunningJob &run, bool isStopping)
    {
        const JobRow &row = m_input.jobs[index].row;
        const auto host = m_hostIndex.find(row.worker);
        if (host == m_hostIndex.end())
            return;
        const Resources load = hostLoad({&run, 1}, m_input.now, m_options.reportLag);
        if (isStopping)
            m_preemption.addStopping(host->second, load);
        else if (row.isRerunnable && !row.isUrgent)
            m_preemption.addRun(host->second,
                                {.job = index, .priority = row.priority, .load = load});
    }

    bool reserveChange()
    {
        if (m_changes++ < m_options.maxChanges)
            return true;
        m_plan.hasMore = true;
        return false;
    }

    void addChange(std::size_t index, JobRow after)
    {
        m_plan.changes.push_back({index, std::move(after)});
    }

    void releaseCeilingUnit(const JobRow &row)
    {
        std::uint32_t &running = m_teams[teamOf(row)].running;
        running -= std::min<std::uint32_t>(running, 1);
        m_plan.teamCounts[row.team] = running;
    }

    bool mustBeEvicted(const JobRow &row) const
    {
        const auto host = m_hostIndex.find(row.worker);
        return row.isRerunnable && host != m_hostIndex.end()
            && m_input.hosts[host->second].isDraining;
    }

    Resources estimate(const JobRow &row) const
    {
        return m_input.learner.estimate(usageClass(row), row.size);
    }

    void addLoad(const JobRow &row, const RunningJob &run)
    {
        m_teams[teamOf(row)].used += run.estimate;
        const auto host = m_hostIndex.find(row.worker);
        if (host == m_hostIndex.end())
            return;
        m_running[host->second].push_back(run);
        m_unlearned[host->second] += m_input.learner.isLearned(usageClass(row)) ? 0 : 1;
    }

    void addHosts()
    {
        for (std::size_t i = 0; i < m_input.hosts.size(); ++i) {
            const JobHost &host = m_input.hosts[i];
            m_hosts.push_back({.name = host.name,
                               .capacity = host.capacity,
                               .load = hostLoad(m_running[i], m_input.now, m_options.reportLag),
                               .isWarm = !m_running[i].empty(),
                               .isOpen = host.isOpen && !m_input.quarantined.contains(host.name),
                               .unlearned = m_unlearned[i]});
        }
    }

    // Returns the first host whose fillable capacity holds the job's declared size when the host is
    // empty, or nullptr.
    const PlacementHost *hostForDeclaredSize(const JobRow &row) const
    {
        for (const PlacementHost &host : m_hosts) {
            if (row.size.fitsInto(fillableCapacity(host)))
                return &host;
        }
        return nullptr;
    }

    Resources fillableCapacity(const PlacementHost &host) const
    {
        Resources fill = host.capacity * m_options.placement.fillLimit;
        fill.accelerators = host.capacity.accelerators;
        return fill;
    }

    PlacementJob toPlacementJob(const JobRow &row)
    {
        Resources need = estimate(row);
        if (const PlacementHost *host = hostForDeclaredSize(row))
            need = componentwiseMin(need, fillableCapacity(*host));
        return {.id = row.id,
                .team = teamOf(row),
                .priority = row.priority,
                .estimate = need,
                .isLearned = m_input.learner.isLearned(usageClass(row))};
    }

    void place(const std::vector<std::size_t> &indexes)
    {
        std::vector<PlacementJob> jobs;
        jobs.reserve(indexes.size());
        for (const std::size_t index : indexes)
            jobs.push_back(toPlacementJob(m_input.jobs[index].row));
        const PlacementPlan plan = planPlacement({.hosts = m_hosts, .jobs = jobs, .teams = m_teams},
                                                 m_options.placement);
        for (const Assignment &assignment : plan.assignments)
            assign(indexes[assignment.job], jobs[assignment.job], m_hosts[assignment.host]);
        for (const WaitingJob &waiting : plan.waiting) {
            updateWaiting(indexes[waiting.job], waiting);
            const bool hasNoRoom = waiting.code == ResultCode::JobWaiting;
            if (hasNoRoom && m_input.jobs[indexes[waiting.job]].row.isUrgent)
                preemptFor(jobs[waiting.job]);
        }
    }

    void preemptFor(const PlacementJob &job)
    {
        const std::vector<std::size_t> stops
            = m_preemption.preempt(job.estimate, m_hosts, m_options.placement.fillLimit);
        m_plan.stops.insert(m_plan.stops.end(), stops.begin(), stops.end());
    }

    void assign(std::size_t index, const PlacementJob &job, PlacementHost &host)
    {
        if (m_starts == m_options.maxStarts) {
            m_plan.hasMore = true;
            return;
        }
        ++m_starts;
        JobRow after = m_input.jobs[index].row;
        after.state = JobState::Placed;
        after.worker = host.name;
        ++after.attempt;
        after.code = ResultCode::Ok;
        after.detail.clear();
        PlacementTeam &team = m_teams[job.team];
        team.used += job.estimate;
        m_plan.teamCounts[after.team] = ++team.running;
        host.load += job.estimate;
        host.isWarm = true;
        host.unlearned += job.isLearned ? 0 : 1;
        addChange(index, std::move(after));
    }

    void updateWaiting(std::size_t index, const WaitingJob &waiting)
    {
        const JobRow &row = m_input.jobs[index].row;
        JobRow after = row;
        after.code = waiting.code;
        after.detail = waiting.reason;
        if (waiting.code == ResultCode::JobNeverFits) {
            after.detail = neverFitsDetail(row);
            after.state = JobState::Impossible;
            if (!m_input.isPoolComplete || m_hosts.empty()) {
                after.code = ResultCode::JobWaiting;
                after.detail = "the pool has no host that could run it now";
                after.state = JobState::Waiting;
            }
        }
        if (after != row && reserveChange())
            addChange(index, std::move(after));
    }

    std::string neverFitsDetail(const JobRow &row) const
    {
        Resources most;
        for (const PlacementHost &host : m_hosts) {
            const Resources fill = fillableCapacity(host);
            most = {.processors = std::max(most.processors, fill.processors),
                    .memory = std::max(most.memory, fill.memory),
                    .accelerators = std::max(most.accelerators, fill.accelerators)};
        }
        return "needs " + sizeText(row.size) + "; no host of pool " + row.pool
            + " gives that, at most " + sizeText(most);
    }

    const JobTickInput &m_input;
    const JobTickOptions &m_options;
    std::unordered_map<std::string, std::size_t> m_hostIndex;
    std::unordered_map<std::string, std::size_t> m_teamIndex;
    std::vector<PlacementTeam> m_teams;
    std::vector<PlacementHost> m_hosts;
    std::vector<std::vector<RunningJob>> m_running; // By host index.
    std::vector<std::uint32_t> m_unlearned; // By host index.
    PreemptionPlanner m_preemption;
    std::vector<std::size_t> m_waiting[2]; // Urgent jobs, then all others.
    std::size_t m_starts = 0;
    std::size_t m_changes = 0;
    JobTickPlan m_plan;
};

} // namespace

std::string usageClass(const JobRow &row)
{
    return row.team + "/" + row.jobClass;
}

JobTickPlan planJobTick(const JobTickInput &input, const JobTickOptions &options)
{
    return TickPlanner(input, options).run();
}

} // namespace sequoiapier
