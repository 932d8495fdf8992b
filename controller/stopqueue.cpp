// Each team has a ring of its jobs. A tick serves the teams round-robin, one command at a time,
// starting after the team that was served last. A visited job goes to the back of its team's ring,
// with or without a command. A tick visits each job at most once.
#include "controller/stopqueue.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

StopQueue::StopQueue(Options options)
    : m_options(options)
{ }

Result<void> StopQueue::add(const StopRequest &request)
{
    if (m_jobs.contains(request.job))
        return boost::outcome_v2::success();
    if (m_jobs.size() >= m_options.maxQueued)
        return Error{ResultCode::CapacityExceeded, "too many jobs wait for their stop"};
    m_jobs.emplace(request.job, Job{.request = request});
    m_teams[request.team].push_back(request.job);
    return boost::outcome_v2::success();
}

std::vector<StopCommand> StopQueue::tick(TimePoint now)
{
    std::map<std::string, std::size_t> unvisited; // Jobs not visited in this tick, by team.
    for (const auto &[team, jobs] : m_teams)
        unvisited[team] = jobs.size();
    std::vector<StopCommand> commands;
    while (!unvisited.empty() && commands.size() < m_options.maxPerTick) {
        auto team = unvisited.upper_bound(m_lastTeam);
        if (team == unvisited.end())
            team = unvisited.begin();
        m_lastTeam = team->first;
        std::deque<std::string> &jobs = m_teams[team->first];
        const std::size_t before = commands.size();
        while (team->second > 0 && commands.size() == before) {
            --team->second;
            visitNext(jobs, now, commands);
        }
        if (team->second == 0)
            unvisited.erase(team);
    }
    std::erase_if(m_teams, [](const auto &team) { return team.second.empty(); });
    return commands;
}

void StopQueue::visitNext(std::deque<std::string> &jobs, TimePoint now,
                          std::vector<StopCommand> &commands)
{
    const std::string name = std::move(jobs.front());
    jobs.pop_front();
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end())
        return;
    jobs.push_back(name);
    Job &job = found->second;
    if (now < job.nextCommand && !isOverdue(job, now))
        return;
    if (isOverdue(job, now))
        endCheckpoint(job);
    const bool needsCheckpoint = job.request.needsCheckpoint && !job.isCheckpointed;
    if (needsCheckpoint && !beginCheckpoint(job))
        return;
    const StopAction action = needsCheckpoint ? StopAction::Checkpoint : StopAction::Stop;
    commands.push_back({name, job.request.host, action});
    job.nextCommand = now + m_options.repeatInterval;
}

void StopQueue::confirmCheckpoint(std::string_view job)
{
    const auto found = m_jobs.find(std::string(job));
    if (found != m_jobs.end())
        endCheckpoint(found->second);
}

void StopQueue::confirmStop(std::string_view job)
{
    const auto found = m_jobs.find(std::string(job));
    if (found == m_jobs.end())
        return;
    endCheckpoint(found->second);
    m_jobs.erase(found);
}

bool StopQueue::isOverdue(const Job &job, TimePoint now) const
{
    return job.request.needsCheckpoint && !job.isCheckpointed
        && now >= job.request.checkpointDeadline;
}

bool StopQueue::beginCheckpoint(Job &job)
{
    if (job.isCheckpointing)
        return true;
    std::size_t &inFlight = m_checkpoints[job.request.host];
    if (inFlight >= m_options.maxCheckpoints)
        return false;
    ++inFlight;
    job.isCheckpointing = true;
    return true;
}

void StopQueue::endCheckpoint(Job &job)
{
    if (job.isCheckpointing) {
        const auto inFlight = m_checkpoints.find(job.request.host);
        if (--inFlight->second == 0)
            m_checkpoints.erase(inFlight);
        job.isCheckpointing = false;
    }
    if (!job.isCheckpointed)
        job.nextCommand = TimePoint();
    job.isCheckpointed = true;
}

} // namespace sequoiapier
