// TaskStandin: the platform's task service with its workers, w1 to wN.
//
// A task's payload is a JSON object: {"runMs": 100, "fail": true, "use": 0.5}, all optional; `use`
// is what it uses of its declared size. Reports are a snapshot taken every report-lag-ms. What ran
// is served as JSON at GET /record. Faults, by POST /faults with a JSON object that replaces the
// ones before:
//   {"outage": true}             every call is refused
//   {"lostAnswers": 2}           the next 2 calls take effect and are not answered
//   {"lostStarts": 2}            the next 2 start calls are dropped and not answered
//   {"lostStartAnswers": 2}      the next 2 start calls take effect and are not answered
//   {"failingWorkers": ["w1"]}   fail whatever they start
//   {"deadWorkers": ["w2"]}      their tasks are lost once their leases lapse
#pragma once

#include "cli/daemon.h"
#include "gen/TaskService.h"
#include "net/rpcserver.h"

#include <map>
#include <set>

namespace sequoiapier {

struct TaskStandinSettings
{
    std::int64_t workers = 4;
    std::int64_t processors = 16;
    std::int64_t memory = 64; // GB
    std::int64_t accelerators = 0;
    std::int64_t reportLagMilliseconds = 50;
};

class TaskStandin
{
public:
    TaskStandin(Daemon &daemon, const TaskStandinSettings &settings);

private:
    struct Task
    {
        api::TaskStart start;
        api::TaskState::type state = api::TaskState::RUNNING;
        bool hasRun = false;
        bool isAcknowledged = false;
        bool isCheckpointed = false;
        bool willFail = false;
        double use = 1;
        TimePoint leaseUntil;
        TimePoint endsAt;
    };
    using Key = std::pair<std::string, std::int64_t>;
    struct Faults
    {
        bool outage = false;
        int lostAnswers = 0;
        int lostStarts = 0;
        int lostStartAnswers = 0;
        std::set<std::string> failingWorkers;
        std::set<std::string> deadWorkers;
    };

    void addMethods();
    void addCommands();
    void serve(const std::shared_ptr<HttpExchange> &exchange);
    void takeFaults(const std::shared_ptr<HttpExchange> &exchange);
    void start(const api::TaskStart &start);
    void begin(Task &task);
    void stop(const api::TaskId &id);
    void end(Task &task, api::TaskState::type state);
    void tick();
    void advance(Task &task, TimePoint now);
    void takeSnapshot();
    void serveRecord(const std::shared_ptr<HttpExchange> &exchange) const;

    Daemon &m_daemon;
    TaskStandinSettings m_settings;
    Faults m_faults;
    RpcServer m_rpc;
    std::map<Key, Task> m_tasks;
    std::map<Key, Task *> m_running;
    std::map<std::string, int> m_runningOfJob;
    std::map<std::string, int> m_runningOfTeam;
    std::map<std::string, int> m_peakOfTeam;
    int m_overlaps = 0; // a job began to run while a run of it was going on
    std::vector<api::TaskReport> m_snapshot;
    TimePoint m_snapshotDue{};
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    Timer m_timer;
};

} // namespace sequoiapier
