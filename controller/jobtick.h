// JobTick: what one turn of a pool's jobs has read, and the plan that it came to.
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
    std::map<std::string, LiveJob> current; // of the rows that were taken
    std::vector<LiveJob> jobs;
    std::uint64_t fullMarkerVersion = 0; // version of the mark, 0: none
    std::vector<JobTeam> teams;
    std::map<std::string, TeamCount> teamCounts;
    JobTickPlan plan;
    std::shared_ptr<std::set<std::string, std::less<>>> poolsInProgress; // may outlive the runner

    ~JobTick() { poolsInProgress->erase(pool); }

    void addReports(std::vector<TaskReport> all);
    // A row that can't be parsed, or a host whose worker is not known, makes the pool incomplete.
    void addHosts(const std::vector<TableRow> &rows);
    // Takes the next of `jobRows`. `known` are the rows of the turn before, by key; only those that
    // changed are parsed, MaxParsedRows in a call. False if one can't be parsed.
    bool addJobs(std::map<std::string, LiveJob> &known);
    bool hasAllJobs() const { return nextJobRow == jobRows.size(); }
    bool addTeamCounts(const std::vector<TableRow> &rows);
};

} // namespace sequoiapier
