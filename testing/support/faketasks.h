// FakeTasks: the platform's task service simulated under virtual time, with late and lost commands.
//
//   FakeTasks fake(time, {"h0", "h1"}, {.processors = 8, .memory = 8});
//   Tasks tasks = fake.hooks();
//   fake.setDelay(5s);        // delays commands sent from now on, except renewals
//   fake.setDead("h0", true); // its tasks are lost once their leases lapse
#pragma once

#include "platform/tasks.h"
#include "testing/support/virtualtime.h"

#include <map>
#include <set>

namespace sequoiapier {

class FakeTasks
{
public:
    FakeTasks(VirtualTime &time, std::vector<std::string> workers, Resources capacity);

    Tasks hooks();

    void setDelay(Duration delay) { m_delay = delay; }
    void setRunTime(Duration runTime) { m_runTime = runTime; }
    void setDead(const std::string &worker, bool isDead);
    void setFailing(const std::string &worker, bool isFailing);
    // Describes the violations: a job with two runs at once, or a team above `ceiling`. Empty if
    // there were none.
    std::string violation(const std::string &team, int ceiling) const;
    int runCount(const std::string &job) const;

private:
    struct Task
    {
        TaskReport report;
        bool hasRun = false;
        bool isAcknowledged = false;
        TimePoint leaseUntil;
        TimePoint endsAt;
    };

    void advance();
    void start(const TaskStart &start);
    void stop(const TaskId &id);

    VirtualTime &m_time;
    std::vector<std::string> m_workers;
    Resources m_capacity;
    Duration m_delay{};
    Duration m_runTime = std::chrono::milliseconds(1'500);
    std::set<std::string> m_dead;
    std::set<std::string> m_failing;
    std::map<TaskId, Task> m_tasks;
    int m_peakRunsPerJob = 0;
    std::map<std::string, int> m_peakRunsByTeam;
};

} // namespace sequoiapier
