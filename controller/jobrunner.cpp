// A turn reads the reports, then the workers, the hosts' rows, the jobs' rows and the teams'
// counts; it plans, commits all changes at once and sends the starts. Reports are read first: one
// without a live row is then of a run whose end was recorded, and can be acknowledged. A turn whose
// answer was lost is not resolved; the next one reads anew, and starts again what is placed and not
// reported. A conflict splits the commit by team, since another process may be changing one of
// them. Leases are renewed in every turn, also when the table is down: renewing a run that has
// ended does nothing.
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
    if (m_underWay->contains(pool))
        return;
    const auto known = m_pools.find(pool);
    if (known == m_pools.end())
        return;
    m_pools.erase(known);
    m_stoppers.erase(std::string(pool));
}

bool JobRunner::turn(std::string_view pool)
{
    if (!m_underWay->insert(std::string(pool)).second)
        return false;
    const auto turn = std::make_shared<JobTurn>();
    turn->pool = pool;
    turn->underWay = m_underWay;
    turn->deadline = m_hooks.now() + m_options.turnTimeout;
    m_tasks.reports(turn->deadline, [this, turn](Result<std::vector<TaskReport>> reports) {
        if (!reports)
            return;
        turn->addReports(std::move(reports.value()));
        readWorkers(turn);
    });
    return true;
}

void JobRunner::readWorkers(const TurnPtr &turn)
{
    m_tasks.workers(turn->deadline, [this, turn](const Result<std::vector<WorkerReport>> &workers) {
        if (!workers)
            return;
        for (const WorkerReport &worker : workers.value())
            turn->workers[worker.name] = worker;
        readHosts(turn);
    });
}

void JobRunner::readHosts(const TurnPtr &turn)
{
    m_table.scan(HostKeyPrefix, turn->deadline,
                 [this, turn](const Result<std::vector<TableRow>> &rows) {
                     if (!rows) {
                         m_tasks.renew(m_pools[turn->pool].running, turn->deadline);
                         return;
                     }
                     turn->addHosts(rows.value());
                     readJobs(turn);
                 });
}

void JobRunner::readJobs(const TurnPtr &turn)
{
    m_table.scan(liveJobPrefix(turn->pool), turn->deadline,
                 [this, turn](Result<std::vector<TableRow>> rows) {
                     if (!rows) {
                         m_tasks.renew(m_pools[turn->pool].running, turn->deadline);
                         return;
                     }
                     turn->jobRows = std::move(rows.value());
                     parseJobs(turn);
                 });
}

void JobRunner::parseJobs(const TurnPtr &turn)
{
    Pool &pool = m_pools[turn->pool];
    if (!turn->addJobs(pool.rows))
        m_tasks.renew(pool.running, turn->deadline);
    else if (turn->hasAllJobs())
        readTeamCounts(turn);
    else
        m_hooks.later([this, turn] { parseJobs(turn); });
}

void JobRunner::readTeamCounts(const TurnPtr &turn)
{
    m_table.scan(TeamCountPrefix, turn->deadline,
                 [this, turn](const Result<std::vector<TableRow>> &rows) {
                     if (rows && turn->addTeamCounts(rows.value()))
                         plan(turn);
                     else
                         m_tasks.renew(m_pools[turn->pool].running, turn->deadline);
                 });
}

// Marks the pool as full, or takes the mark away once a tenth of the room is free.
void JobRunner::markFull(const JobTurn &turn)
{
    const bool isMarked = turn.fullMark != 0;
    const std::size_t limit = m_options.maxLiveJobs - (isMarked ? m_options.maxLiveJobs / 10 : 0);
    const bool isFull = turn.jobs.size() >= limit;
    if (isFull == isMarked)
        return;
    RowWrite write{.key = fullPoolKey(turn.pool), .baseVersion = turn.fullMark};
    if (isFull)
        write.value = "full";
    m_table.commit({.writeId = m_writeIds.next(), .writes = {std::move(write)}}, turn.deadline,
                   [](const CommitAnswer &) {});
}

// Takes each new report of a run's use once, and notes when runs were first seen.
void JobRunner::learn(JobTurn &turn)
{
    Pool &pool = m_pools[turn.pool];
    std::map<TaskId, TimePoint> firstSeen;
    std::map<TaskId, Resources> observed;
    for (const LiveJob &job : turn.jobs) {
        if (!job.row.isPlaced())
            continue;
        const TaskId task = taskOf(job.row);
        const auto seen = pool.firstSeen.find(task);
        firstSeen[task] = seen != pool.firstSeen.end() ? seen->second : m_hooks.now();
        const auto report = turn.newestReports.find(task.job);
        if (report == turn.newestReports.end() || report->second.id != task
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

void JobRunner::plan(const TurnPtr &turn)
{
    learn(*turn);
    turn->teams = teamsOf(m_hooks.configuration());
    const std::vector<std::string> bad = m_quarantine.hosts(m_hooks.now());
    const std::set<std::string, std::less<>> quarantined(bad.begin(), bad.end());
    const Pool &pool = m_pools[turn->pool];
    turn->plan = planJobTurn(
        {.jobs = turn->jobs,
         .hosts = turn->hosts,
         .isPoolComplete = turn->isPoolComplete,
         .teams = turn->teams,
         .teamCounts = turn->teamCounts,
         .reports = turn->newestReports,
         .quarantined = quarantined,
         .learner = m_learner,
         .now = m_hooks.now(),
         .startedAt = [&pool](const TaskId &task) { return pool.firstSeen.at(task); }},
        m_options.turn);
    sendRepeats(*turn);
    sendStops(*turn);
    acknowledge(*turn);
    markFull(*turn);
    if (turn->plan.changes.empty())
        end(*turn, false);
    else
        commitAll(turn);
}

void JobRunner::commitAll(const TurnPtr &turn)
{
    commit(turn, "", [this, turn](CommitOutcome outcome) {
        if (outcome != CommitOutcome::Conflict) {
            end(*turn, outcome == CommitOutcome::Committed && turn->plan.isFull);
            return;
        }
        std::set<std::string> teams;
        for (const JobChange &change : turn->plan.changes)
            teams.insert(change.after.team);
        commitTeams(turn, {teams.begin(), teams.end()});
    });
}

// Commits the changes of each team apart, the last of `teams` first: what another process writes to
// one team's jobs does not hold up the others.
void JobRunner::commitTeams(const TurnPtr &turn, std::vector<std::string> teams)
{
    if (teams.empty()) {
        end(*turn, true);
        return;
    }
    const std::string team = std::move(teams.back());
    teams.pop_back();
    commit(turn, team, [this, turn, teams = std::move(teams)](CommitOutcome outcome) mutable {
        if (outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict)
            commitTeams(turn, std::move(teams));
        else
            end(*turn, false);
    });
}

// An empty `team` stands for all.
void JobRunner::commit(const TurnPtr &turn, const std::string &team,
                       std::function<void(CommitOutcome)> done)
{
    Commit commit{.writeId = m_writeIds.next(), .writes = writesOf(*turn, team)};
    m_table.commit(std::move(commit), turn->deadline,
                   [this, turn, team, done = std::move(done)](const CommitAnswer &answer) {
                       if (answer.outcome == CommitOutcome::Committed)
                           onCommitted(*turn, team);
                       done(answer.outcome);
                   });
}

std::vector<RowWrite> JobRunner::writesOf(const JobTurn &turn, std::string_view team)
{
    std::vector<RowWrite> writes;
    for (const JobChange &change : turn.plan.changes) {
        const LiveJob &before = turn.jobs[change.job];
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
    for (const auto &[name, placed] : turn.plan.teamCounts) {
        if (!team.empty() && name != team)
            continue;
        const auto known = turn.teamCounts.find(name);
        writes.push_back(
            {.key = teamCountKey(name),
             .value = teamCountText(placed),
             .baseVersion = known != turn.teamCounts.end() ? known->second.version : 0});
    }
    return writes;
}

// A process that was paused after its commit sends no start: the next turn, of any process, does.
void JobRunner::onCommitted(const JobTurn &turn, std::string_view team)
{
    const TimePoint now = m_hooks.now();
    std::vector<TaskStart> starts;
    for (const JobChange &change : turn.plan.changes) {
        const JobRow &before = turn.jobs[change.job].row;
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
    if (!starts.empty() && now < turn.deadline)
        m_tasks.start(starts, turn.deadline);
}

void JobRunner::sendRepeats(const JobTurn &turn)
{
    std::vector<TaskId> running;
    for (const std::size_t job : turn.plan.running)
        running.push_back(taskOf(turn.jobs[job].row));
    std::vector<TaskStart> starts;
    for (const std::size_t job : turn.plan.startAgain)
        starts.push_back(startOf(turn.jobs[job].row));
    if (!starts.empty())
        m_tasks.start(starts, turn.deadline);
    if (!running.empty())
        m_tasks.renew(running, turn.deadline);
    m_pools[turn.pool].running = std::move(running);
}

void JobRunner::sendStops(const JobTurn &turn)
{
    std::vector<const JobRow *> unwanted;
    for (const std::size_t job : turn.plan.stops)
        unwanted.push_back(&turn.jobs[job].row);
    RunStopper &stopper = m_stoppers.try_emplace(turn.pool, m_options.stopper).first->second;
    const StopCommands commands = stopper.turn(unwanted, turn.reports, m_hooks.now());
    if (!commands.checkpoints.empty())
        m_tasks.checkpoint(commands.checkpoints, turn.deadline);
    if (!commands.stops.empty())
        m_tasks.stop(commands.stops, turn.deadline);
}

// Reports of ended runs whose end is in the table.
void JobRunner::acknowledge(const JobTurn &turn)
{
    std::set<TaskId> live;
    for (const LiveJob &job : turn.jobs) {
        if (job.row.isPlaced())
            live.insert(taskOf(job.row));
    }
    std::vector<TaskId> ended;
    for (const TaskReport &report : turn.reports) {
        if (report.state != TaskState::Running && report.id.job.starts_with(turn.pool + "/")
            && !live.contains(report.id)) {
            ended.push_back(report.id);
        }
    }
    if (!ended.empty())
        m_tasks.acknowledge(ended, turn.deadline);
}

void JobRunner::end(const JobTurn &turn, bool isFull)
{
    m_hooks.turned(turn.pool, isFull);
}

} // namespace sequoiapier
