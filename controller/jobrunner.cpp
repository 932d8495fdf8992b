// A tick reads the reports, the workers, the hosts' rows, the jobs' rows and the teams' counts, in
// this order. It then plans, commits all changes at once and sends the starts.
//
// Since reports are read first, a report without a live row belongs to a run whose end is recorded,
// and can be acknowledged. A commit with a lost answer is not resolved: the next tick reads the
// table anew and repeats the start of every placed job without a report. After a conflict the
// commit is split by team, since another process may be changing the jobs of one team. Leases are
// renewed in every tick, also when the table is down; renewing a run that has ended has no effect.
#include "controller/jobrunner.h"

#include "controller/hostrow.h"

#include <utility>

namespace sequoiapier {

namespace {

TaskId taskOf(const JobRow &row)
{
    return {taskName(row), row.attempt};
}

TaskStart startOf(const JobRow &row)
{
    return {.id = taskOf(row), .worker = row.worker, .size = row.size, .payload = row.payload};
}

std::vector<JobTeam> teamsOf(const Configuration &configuration)
{
    std::vector<JobTeam> teams;
    for (const TeamConfig &team : configuration.teams)
        teams.push_back({team.name, double(team.share), team.ceiling});
    return teams;
}

} // namespace

JobRunner::JobRunner(Table table, Tasks tasks, Hooks hooks, Options options)
    : m_table(std::move(table))
    , m_tasks(std::move(tasks))
    , m_hooks(std::move(hooks))
    , m_options(std::move(options))
    , m_writeIds(m_options.process, m_options.incarnation, "jobs")
    , m_learner(m_options.learner)
    , m_quarantine(m_options.quarantine)
{ }

void JobRunner::forget(std::string_view pool)
{
    if (m_poolsInProgress->contains(pool))
        return;
    const auto known = m_pools.find(pool);
    if (known == m_pools.end())
        return;
    m_pools.erase(known);
    m_stoppers.erase(std::string(pool));
}

bool JobRunner::tick(std::string_view pool)
{
    if (!m_poolsInProgress->insert(std::string(pool)).second)
        return false;
    const auto tick = std::make_shared<JobTick>();
    tick->pool = pool;
    tick->poolsInProgress = m_poolsInProgress;
    tick->deadline = m_hooks.now() + m_options.tickTimeout;
    m_tasks.reports(tick->deadline, [this, tick](Result<std::vector<TaskReport>> reports) {
        if (!reports)
            return;
        tick->addReports(std::move(reports.value()));
        readWorkers(tick);
    });
    return true;
}

void JobRunner::readWorkers(const TickPtr &tick)
{
    m_tasks.workers(tick->deadline, [this, tick](const Result<std::vector<WorkerReport>> &workers) {
        if (!workers)
            return;
        for (const WorkerReport &worker : workers.value())
            tick->workers[worker.name] = worker;
        readHosts(tick);
    });
}

void JobRunner::readHosts(const TickPtr &tick)
{
    m_table.scan(HostKeyPrefix, tick->deadline,
                 [this, tick](const Result<std::vector<TableRow>> &rows) {
                     if (!rows) {
                         m_tasks.renew(m_pools[tick->pool].running, tick->deadline);
                         return;
                     }
                     tick->addHosts(rows.value());
                     readJobs(tick);
                 });
}

void JobRunner::readJobs(const TickPtr &tick)
{
    m_table.scan(liveJobPrefix(tick->pool), tick->deadline,
                 [this, tick](Result<std::vector<TableRow>> rows) {
                     if (!rows) {
                         m_tasks.renew(m_pools[tick->pool].running, tick->deadline);
                         return;
                     }
                     tick->jobRows = std::move(rows.value());
                     parseJobs(tick);
                 });
}

void JobRunner::parseJobs(const TickPtr &tick)
{
    Pool &pool = m_pools[tick->pool];
    if (!tick->addJobs(pool.rows))
        m_tasks.renew(pool.running, tick->deadline);
    else if (tick->hasAllJobs())
        readTeamCounts(tick);
    else
        m_hooks.later([this, tick] { parseJobs(tick); });
}

void JobRunner::readTeamCounts(const TickPtr &tick)
{
    m_table.scan(TeamCountPrefix, tick->deadline,
                 [this, tick](const Result<std::vector<TableRow>> &rows) {
                     if (rows && tick->addTeamCounts(rows.value()))
                         plan(tick);
                     else
                         m_tasks.renew(m_pools[tick->pool].running, tick->deadline);
                 });
}

// Writes the pool's full marker at maxLiveJobs live jobs, and removes it once a tenth of them is
// free.
void JobRunner::updateFullMarker(const JobTick &tick)
{
    const bool isMarked = tick.fullMarkerVersion != 0;
    const std::size_t limit = m_options.maxLiveJobs - (isMarked ? m_options.maxLiveJobs / 10 : 0);
    const bool isFull = tick.jobs.size() >= limit;
    if (isFull == isMarked)
        return;
    RowWrite write{.key = fullPoolKey(tick.pool), .baseVersion = tick.fullMarkerVersion};
    if (isFull)
        write.value = "full";
    m_table.commit({.writeId = m_writeIds.next(), .writes = {std::move(write)}}, tick.deadline,
                   [](const CommitAnswer &) {});
}

// Passes each new usage report of a run to the learner once, and records when runs were first seen.
void JobRunner::observeUsage(JobTick &tick)
{
    Pool &pool = m_pools[tick.pool];
    std::map<TaskId, TimePoint> firstSeen;
    std::map<TaskId, Resources> observed;
    for (const LiveJob &job : tick.jobs) {
        if (!job.row.isPlaced())
            continue;
        const TaskId task = taskOf(job.row);
        const auto seen = pool.firstSeen.find(task);
        firstSeen[task] = seen != pool.firstSeen.end() ? seen->second : m_hooks.now();
        const auto report = tick.newestReports.find(task.job);
        if (report == tick.newestReports.end() || report->second.id != task
            || !report->second.used) {
            continue;
        }
        const Resources &used = *report->second.used;
        const auto taken = pool.observed.find(task);
        if (taken == pool.observed.end() || taken->second != used)
            m_learner.observe(usageClass(job.row), job.row.size, used);
        observed[task] = used;
    }
    pool.firstSeen = std::move(firstSeen);
    pool.observed = std::move(observed);
}

void JobRunner::plan(const TickPtr &tick)
{
    observeUsage(*tick);
    tick->teams = teamsOf(m_hooks.configuration());
    const std::vector<std::string> bad = m_quarantine.hosts(m_hooks.now());
    const std::set<std::string, std::less<>> quarantined(bad.begin(), bad.end());
    const Pool &pool = m_pools[tick->pool];
    tick->plan = planJobTick(
        {.jobs = tick->jobs,
         .hosts = tick->hosts,
         .isPoolComplete = tick->isPoolComplete,
         .teams = tick->teams,
         .teamCounts = tick->teamCounts,
         .reports = tick->newestReports,
         .quarantined = quarantined,
         .learner = m_learner,
         .now = m_hooks.now(),
         .startedAt = [&pool](const TaskId &task) { return pool.firstSeen.at(task); }},
        m_options.tick);
    sendRestartsAndRenewals(*tick);
    sendStops(*tick);
    acknowledge(*tick);
    updateFullMarker(*tick);
    if (tick->plan.changes.empty())
        finishTick(*tick, false);
    else
        commitAll(tick);
}

void JobRunner::commitAll(const TickPtr &tick)
{
    commit(tick, "", [this, tick](CommitOutcome outcome) {
        if (outcome != CommitOutcome::Conflict) {
            finishTick(*tick, outcome == CommitOutcome::Committed && tick->plan.hasMore);
            return;
        }
        std::set<std::string> teams;
        for (const JobChange &change : tick->plan.changes)
            teams.insert(change.after.team);
        commitTeams(tick, {teams.begin(), teams.end()});
    });
}

// Commits the changes of each team separately, the last of `teams` first, so that another process's
// writes to one team's jobs do not block the others.
void JobRunner::commitTeams(const TickPtr &tick, std::vector<std::string> teams)
{
    if (teams.empty()) {
        finishTick(*tick, true);
        return;
    }
    const std::string team = std::move(teams.back());
    teams.pop_back();
    commit(tick, team, [this, tick, teams = std::move(teams)](CommitOutcome outcome) mutable {
        if (outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict)
            commitTeams(tick, std::move(teams));
        else
            finishTick(*tick, false);
    });
}

// Commits the changes of `team`, or of all teams if it is empty.
void JobRunner::commit(const TickPtr &tick, const std::string &team,
                       std::function<void(CommitOutcome)> done)
{
    Commit commit{.writeId = m_writeIds.next(), .writes = writesOf(*tick, team)};
    m_table.commit(std::move(commit), tick->deadline,
                   [this, tick, team, done = std::move(done)](const CommitAnswer &answer) {
                       if (answer.outcome == CommitOutcome::Committed)
                           onCommitted(*tick, team);
                       done(answer.outcome);
                   });
}

std::vector<RowWrite> JobRunner::writesOf(const JobTick &tick, std::string_view team)
{
    std::vector<RowWrite> writes;
    for (const JobChange &change : tick.plan.changes) {
        const LiveJob &before = tick.jobs[change.job];
        if (!team.empty() && before.row.team != team)
            continue;
        RowWrite live{.key = liveJobKey(before.row), .baseVersion = before.version};
        if (change.after.hasEnded()) {
            writes.push_back({.key = endedJobKey(before.row.team, before.row.id),
                              .value = toJson(change.after)});
        } else {
            live.value = toJson(change.after);
        }
        writes.push_back(std::move(live));
    }
    for (const auto &[name, placed] : tick.plan.teamCounts) {
        if (!team.empty() && name != team)
            continue;
        const auto known = tick.teamCounts.find(name);
        writes.push_back(
            {.key = teamCountKey(name),
             .value = formatTeamCount(placed),
             .baseVersion = known != tick.teamCounts.end() ? known->second.version : 0});
    }
    return writes;
}

// A process that was paused past its deadline after the commit sends no start: the next tick, of
// any process, sends it.
void JobRunner::onCommitted(const JobTick &tick, std::string_view team)
{
    const TimePoint now = m_hooks.now();
    std::vector<TaskStart> starts;
    for (const JobChange &change : tick.plan.changes) {
        const JobRow &before = tick.jobs[change.job].row;
        if (!team.empty() && before.team != team)
            continue;
        if (change.after.state == JobState::Placed)
            starts.push_back(startOf(change.after));
        if (change.after.state == JobState::Done)
            m_quarantine.record(before.worker, false, now);
        if (change.after.failures > before.failures)
            m_quarantine.record(before.worker, true, now);
        m_hooks.changed(change.after);
    }
    if (!starts.empty() && now < tick.deadline)
        m_tasks.start(starts, tick.deadline);
}

void JobRunner::sendRestartsAndRenewals(const JobTick &tick)
{
    std::vector<TaskId> running;
    for (const std::size_t job : tick.plan.running)
        running.push_back(taskOf(tick.jobs[job].row));
    std::vector<TaskStart> starts;
    for (const std::size_t job : tick.plan.restarts)
        starts.push_back(startOf(tick.jobs[job].row));
    if (!starts.empty())
        m_tasks.start(starts, tick.deadline);
    if (!running.empty())
        m_tasks.renew(running, tick.deadline);
    m_pools[tick.pool].running = std::move(running);
}

void JobRunner::sendStops(const JobTick &tick)
{
    std::vector<const JobRow *> unwanted;
    for (const std::size_t job : tick.plan.stops)
        unwanted.push_back(&tick.jobs[job].row);
    RunStopper &stopper = m_stoppers.try_emplace(tick.pool, m_options.stopper).first->second;
    const StopCommands commands = stopper.tick(unwanted, tick.reports, m_hooks.now());
    if (!commands.checkpoints.empty())
        m_tasks.checkpoint(commands.checkpoints, tick.deadline);
    if (!commands.stops.empty())
        m_tasks.stop(commands.stops, tick.deadline);
}

// Acknowledges the reports of ended runs whose end is recorded in the table.
void JobRunner::acknowledge(const JobTick &tick)
{
    std::set<TaskId> live;
    for (const LiveJob &job : tick.jobs) {
        if (job.row.isPlaced())
            live.insert(taskOf(job.row));
    }
    std::vector<TaskId> ended;
    for (const TaskReport &report : tick.reports) {
        if (report.state != TaskState::Running && report.id.job.starts_with(tick.pool + "/")
            && !live.contains(report.id)) {
            ended.push_back(report.id);
        }
    }
    if (!ended.empty())
        m_tasks.acknowledge(ended, tick.deadline);
}

void JobRunner::finishTick(const JobTick &tick, bool hasMore)
{
    m_hooks.ticked(tick.pool, hasMore);
}

} // namespace sequoiapier
