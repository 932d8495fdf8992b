// TaskStandin simulates the platform's task service with its workers, w1 to wN.
//
// A task's payload is a JSON object with optional fields: {"runMs": 100, "fail": true, "use": 0.5}.
// `use` is the fraction of its declared size that the task uses. Reports are a snapshot taken every
// report-lag-ms. GET /record returns the tasks that ran as JSON. POST /faults takes a JSON object
// that replaces all earlier faults:
//   {"outage": true}             every call gets 503
//   {"lostAnswers": 2}           the next 2 calls take effect but get no answer
//   {"lostStarts": 2}            the next 2 start calls are dropped without an answer
//   {"lostStartAnswers": 2}      the next 2 start calls take effect but get no answer
//   {"failingWorkers": ["w1"]}   these workers fail every task they start
//   {"deadWorkers": ["w2"]}      the tasks of these workers are lost when their leases lapse
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
    void replaceFaults(const std::shared_ptr<HttpExchange> &exchange);
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
    int m_overlaps = 0; // Number of runs that began while another run of the job was in progress.
    std::vector<api::TaskReport> m_snapshot;
    TimePoint m_snapshotDue{};
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    Timer m_timer;
};

} // namespace sequoiapier
