#include "controller/jobtick.h"

#include "controller/hostrow.h"

#include <utility>

namespace sequoiapier {

void JobTick::addReports(std::vector<TaskReport> all)
{
    reports = std::move(all);
    for (const TaskReport &report : reports) {
        const auto [known, isNew] = newestReports.emplace(report.id.job, report);
        if (!isNew && known->second.id.attempt < report.id.attempt)
            known->second = report;
    }
}

void JobTick::addHosts(const std::vector<TableRow> &rows)
{
    for (const TableRow &row : rows) {
        const Result<HostRow> parsed = parseHostRow(row.value);
        if (!parsed) {
            isPoolComplete = false;
            continue;
        }
        const HostRow &host = parsed.value();
        if (host.pool != pool)
            continue;
        const auto worker = workers.find(host.host);
        if (worker == workers.end()) {
            isPoolComplete = false;
            continue;
        }
        hosts.push_back({.name = host.host,
                         .capacity = worker->second.capacity,
                         .isOpen = host.state == HostState::Serving && worker->second.isLive,
                         .isDraining = host.state == HostState::Draining});
    }
}

bool JobTick::addJobs(std::map<std::string, LiveJob> &known)
{
    for (std::size_t parsedRows = 0; !hasAllJobs() && parsedRows < MaxParsedRows; ++nextJobRow) {
        const TableRow &row = jobRows[nextJobRow];
        if (row.key == fullPoolKey(pool)) {
            fullMarkerVersion = row.version;
            continue;
        }
        auto node = known.extract(row.key);
        if (!node.empty() && node.mapped().version == row.version) {
            current.insert(current.end(), std::move(node));
            continue;
        }
        ++parsedRows;
        Result<JobRow> parsed = parseJobRow(row.value);
        if (!parsed)
            return false;
        current.emplace_hint(current.end(), row.key,
                             LiveJob{std::move(parsed.value()), row.version});
    }
    if (!hasAllJobs())
        return true;
    known = std::move(current);
    jobs.reserve(known.size());
    for (const auto &[key, job] : known)
        jobs.push_back(job);
    return true;
}

bool JobTick::addTeamCounts(const std::vector<TableRow> &rows)
{
    for (const TableRow &row : rows) {
        const Result<std::uint32_t> placed = parseTeamCount(row.value);
        if (!placed)
            return false;
        teamCounts[row.key.substr(TeamCountPrefix.size())] = {placed.value(), row.version};
    }
    return true;
}

} // namespace sequoiapier
