#include "testing/standin/taskstandin.h"

#include "testing/standin/lostanswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sequoiapier {

namespace {

using Json = nlohmann::json;

constexpr int StatusUnavailable = 503;
constexpr Duration TickInterval = std::chrono::milliseconds(10);
// Run time on a worker that fails every task.
constexpr Duration FailureTime = std::chrono::milliseconds(10);

Json parseObject(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    return json.is_object() ? json : Json::object();
}

// The team of a job named POOL/TEAM/ID.
std::string teamOf(const std::string &job)
{
    const std::size_t first = job.find('/');
    return job.substr(first + 1, job.rfind('/') - first - 1);
}

api::TaskSize scaled(const api::TaskSize &size, double factor)
{
    api::TaskSize result = size;
    result.processors *= factor;
    result.memory *= factor;
    return result;
}

const char *toText(api::TaskState::type state)
{
    switch (state) {
    case api::TaskState::RUNNING:
        return "running";
    case api::TaskState::DONE:
        return "done";
    case api::TaskState::FAILED:
        return "failed";
    case api::TaskState::STOPPED:
        return "stopped";
    case api::TaskState::NEVER_RAN:
        return "never-ran";
    case api::TaskState::LOST:
        break;
    }
    return "lost";
}

} // namespace

TaskStandin::TaskStandin(Daemon &daemon, const TaskStandinSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_timer(daemon.loop(), [this] { tick(); })
{
    addMethods();
    addCommands();
    daemon.route("/tasks",
                 [this](const std::shared_ptr<HttpExchange> &exchange) { serve(exchange); });
    daemon.route("/record",
                 [this](const std::shared_ptr<HttpExchange> &exchange) { serveRecord(exchange); });
    daemon.route("/faults", [this](const std::shared_ptr<HttpExchange> &exchange) {
        replaceFaults(exchange);
    });
    tick();
}

void TaskStandin::replaceFaults(const std::shared_ptr<HttpExchange> &exchange)
{
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object()) {
        exchange->reply({.status = 400});
        return;
    }
    m_faults = {.outage = json.value("outage", false),
                .lostAnswers = json.value("lostAnswers", 0),
                .lostStarts = json.value("lostStarts", 0),
                .lostStartAnswers = json.value("lostStartAnswers", 0),
                .failingWorkers = json.value("failingWorkers", std::set<std::string>()),
                .deadWorkers = json.value("deadWorkers", std::set<std::string>())};
    exchange->reply({});
}

void TaskStandin::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_faults.outage) {
        exchange->reply({.status = StatusUnavailable});
        return;
    }
    if (m_faults.lostAnswers > 0) {
        --m_faults.lostAnswers;
        serveWithLostAnswer(m_rpc, *exchange);
        m_unanswered.push_back(exchange);
        return;
    }
    m_rpc.serve(exchange);
}

void TaskStandin::addMethods()
{
    m_rpc.add<api::TaskService_workers_args, api::TaskService_workers_result>(
        "workers", [this](const auto &, const auto &answer) {
            api::TaskService_workers_result result;
            for (std::int64_t i = 1; i <= m_settings.workers; ++i) {
                api::WorkerReport worker;
                worker.name = "w" + std::to_string(i);
                worker.capacity.processors = double(m_settings.processors);
                worker.capacity.memory = double(m_settings.memory);
                worker.capacity.accelerators = double(m_settings.accelerators);
                worker.isLive = !m_faults.deadWorkers.contains(worker.name);
                result.success.push_back(worker);
            }
            result.__isset.success = true;
            answer(result);
        });
    m_rpc.add<api::TaskService_reports_args, api::TaskService_reports_result>(
        "reports", [this](const auto &, const auto &answer) {
            api::TaskService_reports_result result;
            result.success = m_snapshot;
            result.__isset.success = true;
            answer(result);
        });
    m_rpc.add<api::TaskService_start_args, api::TaskService_start_result>(
        "start", [this](const auto &args, const auto &answer) {
            if (m_faults.lostStarts > 0) {
                --m_faults.lostStarts;
                return;
            }
            for (const api::TaskStart &task : args.tasks)
                start(task);
            if (m_faults.lostStartAnswers > 0)
                --m_faults.lostStartAnswers;
            else
                answer({});
        });
    m_rpc.add<api::TaskService_stop_args, api::TaskService_stop_result>(
        "stop", [this](const auto &args, const auto &answer) {
            for (const api::TaskId &id : args.tasks)
                stop(id);
            answer({});
        });
}

void TaskStandin::addCommands()
{
    m_rpc.add<api::TaskService_renew_args, api::TaskService_renew_result>(
        "renew", [this](const auto &args, const auto &answer) {
            const TimePoint until = BootClock::now() + std::chrono::milliseconds(args.leaseMs);
            for (const api::TaskId &id : args.tasks) {
                const auto task = m_running.find({id.job, id.attempt});
                if (task != m_running.end()
                    && !m_faults.deadWorkers.contains(task->second->start.worker)) {
                    task->second->leaseUntil = until;
                }
            }
            answer({});
        });
    m_rpc.add<api::TaskService_checkpoint_args, api::TaskService_checkpoint_result>(
        "checkpoint", [this](const auto &args, const auto &answer) {
            for (const api::TaskId &id : args.tasks) {
                const auto task = m_running.find({id.job, id.attempt});
                if (task != m_running.end())
                    task->second->isCheckpointed = true;
            }
            answer({});
        });
    m_rpc.add<api::TaskService_acknowledge_args, api::TaskService_acknowledge_result>(
        "acknowledge", [this](const auto &args, const auto &answer) {
            for (const api::TaskId &id : args.tasks) {
                const auto task = m_tasks.find({id.job, id.attempt});
                if (task != m_tasks.end() && task->second.state != api::TaskState::RUNNING)
                    task->second.isAcknowledged = true;
            }
            answer({});
        });
}

// Each attempt begins once. A repeated start of an ended attempt makes its report visible again.
void TaskStandin::start(const api::TaskStart &start)
{
    const auto [entry, isNew] = m_tasks.try_emplace(Key{start.id.job, start.id.attempt});
    Task &task = entry->second;
    task.isAcknowledged = false;
    if (!isNew)
        return;
    task.start = start;
    if (m_faults.deadWorkers.contains(start.worker))
        task.state = api::TaskState::NEVER_RAN;
    else
        begin(task);
}

void TaskStandin::begin(Task &task)
{
    const TimePoint now = BootClock::now();
    const Json payload = parseObject(task.start.payload);
    const bool isFailing = m_faults.failingWorkers.contains(task.start.worker);
    task.hasRun = true;
    task.willFail = isFailing || payload.value("fail", false);
    task.use = payload.value("use", 1.0);
    task.leaseUntil = now + std::chrono::milliseconds(task.start.leaseMs);
    task.endsAt
        = now + (isFailing ? FailureTime : std::chrono::milliseconds(payload.value("runMs", 100)));
    const std::string &job = task.start.id.job;
    m_running[{job, task.start.id.attempt}] = &task;
    m_overlaps += ++m_runningOfJob[job] > 1 ? 1 : 0;
    const std::string team = teamOf(job);
    m_peakOfTeam[team] = std::max(m_peakOfTeam[team], ++m_runningOfTeam[team]);
}

void TaskStandin::stop(const api::TaskId &id)
{
    const auto [entry, isNew] = m_tasks.try_emplace(Key{id.job, id.attempt});
    Task &task = entry->second;
    if (isNew) {
        task.start.id = id;
        task.state = api::TaskState::NEVER_RAN;
    } else if (task.state == api::TaskState::RUNNING
               && !m_faults.deadWorkers.contains(task.start.worker)) {
        end(task, api::TaskState::STOPPED);
    }
}

void TaskStandin::end(Task &task, api::TaskState::type state)
{
    task.state = state;
    const std::string &job = task.start.id.job;
    m_running.erase({job, task.start.id.attempt});
    --m_runningOfJob[job];
    --m_runningOfTeam[teamOf(job)];
}

void TaskStandin::tick()
{
    const TimePoint now = BootClock::now();
    std::vector<Task *> running;
    for (const auto &[key, task] : m_running)
        running.push_back(task);
    for (Task *task : running)
        advance(*task, now);
    if (now >= m_snapshotDue)
        takeSnapshot();
    m_timer.startAt(now + TickInterval);
}

void TaskStandin::advance(Task &task, TimePoint now)
{
    const bool isDead = m_faults.deadWorkers.contains(task.start.worker);
    if (now >= task.leaseUntil)
        end(task, isDead ? api::TaskState::LOST : api::TaskState::STOPPED);
    else if (now >= task.endsAt && !isDead)
        end(task, task.willFail ? api::TaskState::FAILED : api::TaskState::DONE);
}

void TaskStandin::takeSnapshot()
{
    m_snapshotDue = BootClock::now() + std::chrono::milliseconds(m_settings.reportLagMilliseconds);
    m_snapshot.clear();
    for (const auto &[key, task] : m_tasks) {
        if (task.isAcknowledged)
            continue;
        api::TaskReport report;
        report.id = task.start.id;
        report.worker = task.start.worker;
        report.state = task.state;
        report.isCheckpointed = task.isCheckpointed;
        if (task.hasRun)
            report.__set_used(scaled(task.start.size, task.use));
        m_snapshot.push_back(std::move(report));
    }
}

void TaskStandin::serveRecord(const std::shared_ptr<HttpExchange> &exchange) const
{
    Json runs = Json::object();
    for (const auto &[key, task] : m_tasks) {
        if (!task.hasRun)
            continue;
        runs[key.first].push_back({{"attempt", key.second},
                                   {"worker", task.start.worker},
                                   {"state", toText(task.state)},
                                   {"isCheckpointed", task.isCheckpointed}});
    }
    const Json record{{"runs", runs},
                      {"running", m_running.size()},
                      {"peakOfTeam", m_peakOfTeam},
                      {"overlaps", m_overlaps}};
    exchange->reply({.body = record.dump() + "\n"});
}

} // namespace sequoiapier
