#include "testing/support/faketasks.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration Lease = std::chrono::seconds(2);
constexpr Duration Latency = std::chrono::milliseconds(2);

// The team in a task's name, which has the form POOL/TEAM/ID.
std::string teamOf(const std::string &job)
{
    const std::size_t first = job.find('/');
    return job.substr(first + 1, job.rfind('/') - first - 1);
}

} // namespace

FakeTasks::FakeTasks(VirtualTime &time, std::vector<std::string> workers, Resources capacity)
    : m_time(time)
    , m_workers(std::move(workers))
    , m_capacity(capacity)
{ }

void FakeTasks::setDead(const std::string &worker, bool isDead)
{
    advance();
    if (isDead)
        m_dead.insert(worker);
    else
        m_dead.erase(worker);
}

void FakeTasks::setFailing(const std::string &worker, bool isFailing)
{
    if (isFailing)
        m_failing.insert(worker);
    else
        m_failing.erase(worker);
}

// Ends the tasks that are due. Tasks of a dead worker are reported as running until their leases
// lapse.
void FakeTasks::advance()
{
    for (auto &[id, task] : m_tasks) {
        if (task.report.state != TaskState::Running)
            continue;
        const bool isDead = m_dead.contains(task.report.worker);
        if (m_time.now() >= task.leaseUntil)
            task.report.state = isDead ? TaskState::Lost : TaskState::Stopped;
        else if (m_time.now() >= task.endsAt && !isDead)
            task.report.state
                = m_failing.contains(task.report.worker) ? TaskState::Failed : TaskState::Done;
    }
}

void FakeTasks::start(const TaskStart &start)
{
    advance();
    const auto [entry, isNew] = m_tasks.try_emplace(start.id);
    Task &task = entry->second;
    task.isAcknowledged = false;
    if (!isNew)
        return;
    task.report = {.id = start.id, .worker = start.worker};
    if (m_dead.contains(start.worker)) {
        task.report.state = TaskState::NeverRan;
        return;
    }
    task.hasRun = true;
    task.report.used = start.size;
    task.leaseUntil = m_time.now() + Lease;
    task.endsAt = m_time.now() + m_runTime;
    int jobRuns = 0;
    int teamRuns = 0;
    for (const auto &[id, other] : m_tasks) {
        if (other.report.state != TaskState::Running)
            continue;
        jobRuns += id.job == start.id.job ? 1 : 0;
        teamRuns += teamOf(id.job) == teamOf(start.id.job) ? 1 : 0;
    }
    m_peakRunsPerJob = std::max(m_peakRunsPerJob, jobRuns);
    int &peak = m_peakRunsByTeam[teamOf(start.id.job)];
    peak = std::max(peak, teamRuns);
}

void FakeTasks::stop(const TaskId &id)
{
    advance();
    const auto [entry, isNew] = m_tasks.try_emplace(id);
    TaskReport &report = entry->second.report;
    if (isNew)
        report = {.id = id, .state = TaskState::NeverRan};
    else if (report.state == TaskState::Running && !m_dead.contains(report.worker))
        report.state = TaskState::Stopped;
}

std::string FakeTasks::violation(const std::string &team, int ceiling) const
{
    if (m_peakRunsPerJob > 1)
        return "a job had two runs at once";
    const auto peak = m_peakRunsByTeam.find(team);
    if (peak != m_peakRunsByTeam.end() && peak->second > ceiling)
        return team + " ran " + std::to_string(peak->second);
    return "";
}

int FakeTasks::runCount(const std::string &job) const
{
    return int(std::count_if(m_tasks.begin(), m_tasks.end(), [&](const auto &task) {
        return task.first.job == job && task.second.hasRun;
    }));
}

Tasks FakeTasks::hooks()
{
    Tasks tasks;
    tasks.workers = [this](TimePoint, const Tasks::WorkersCallback &callback) {
        m_time.after(Latency, [this, callback] {
            std::vector<WorkerReport> workers;
            for (const std::string &worker : m_workers)
                workers.push_back({worker, m_capacity, !m_dead.contains(worker)});
            callback(std::move(workers));
        });
    };
    tasks.reports = [this](TimePoint, const Tasks::ReportsCallback &callback) {
        m_time.after(Latency, [this, callback] {
            advance();
            std::vector<TaskReport> reports;
            for (const auto &[id, task] : m_tasks) {
                if (!task.isAcknowledged)
                    reports.push_back(task.report);
            }
            callback(std::move(reports));
        });
    };
    tasks.start = [this](const std::vector<TaskStart> &starts, TimePoint) {
        m_time.after(m_delay, [this, starts] {
            for (const TaskStart &task : starts)
                start(task);
        });
    };
    tasks.stop = [this](const std::vector<TaskId> &ids, TimePoint) {
        m_time.after(m_delay, [this, ids] {
            for (const TaskId &id : ids)
                stop(id);
        });
    };
    tasks.renew = [this](const std::vector<TaskId> &ids, TimePoint) {
        advance();
        for (const TaskId &id : ids) {
            const auto task = m_tasks.find(id);
            if (task != m_tasks.end() && !m_dead.contains(task->second.report.worker))
                task->second.leaseUntil = m_time.now() + Lease;
        }
    };
    tasks.checkpoint = [this](const std::vector<TaskId> &ids, TimePoint) {
        for (const TaskId &id : ids) {
            const auto task = m_tasks.find(id);
            if (task != m_tasks.end())
                task->second.report.isCheckpointed = true;
        }
    };
    tasks.acknowledge = [this](const std::vector<TaskId> &ids, TimePoint) {
        m_time.after(m_delay, [this, ids] {
            for (const TaskId &id : ids)
                m_tasks.at(id).isAcknowledged = true;
        });
    };
    return tasks;
}

} // namespace sequoiapier
