// JobTick: the data that one tick of a pool's jobs has read, and the resulting plan.
#pragma once

#include "controller/jobplanner.h"
#include "platform/tasks.h"
#include "sequoiapier/table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct JobTick
{
    static constexpr std::size_t MaxParsedRows = 256;

    std::string pool;
    TimePoint deadline;
    std::vector<TaskReport> reports;
    TaskReports newestReports;
    std::map<std::string, WorkerReport> workers;
    std::vector<JobHost> hosts;
    bool isPoolComplete = true;
    std::vector<TableRow> jobRows;
    std::size_t nextJobRow = 0;
    std::map<std::string, LiveJob> current; // Rows read by addJobs() so far, by key.
    std::vector<LiveJob> jobs;
    std::uint64_t fullMarkerVersion = 0; // Version of the full marker row; 0: none.
    std::vector<JobTeam> teams;
    std::map<std::string, TeamCount> teamCounts;
    JobTickPlan plan;
    // Pools with a tick in progress. Shared, since a tick may outlive its runner.
    std::shared_ptr<std::set<std::string, std::less<>>> poolsInProgress;

    ~JobTick() { poolsInProgress->erase(pool); }

    void addReports(std::vector<TaskReport> all);
    // Adds the hosts of the pool. A row that can't be parsed, or a host without a known worker,
    // clears isPoolComplete.
    void addHosts(const std::vector<TableRow> &rows);
    // Adds the next rows of `jobRows`. `known` holds the rows of the previous tick by key; only
    // rows that changed since then are parsed, at most MaxParsedRows per call. Returns false if a
    // row can't be parsed.
    bool addJobs(std::map<std::string, LiveJob> &known);
    bool hasAllJobs() const { return nextJobRow == jobRows.size(); }
    // Returns false if a row can't be parsed.
    bool addTeamCounts(const std::vector<TableRow> &rows);
};

} // namespace sequoiapier
