// The progress of a wave is computed by planning its next tick without committing it.
#include "controller/fleetview.h"

#include "controller/waveplanner.h"

#include <algorithm>
#include <cmath>

namespace sequoiapier {

namespace {

std::string drainReason(const HostRow &host, const HostReport *report, std::int64_t now)
{
    std::string reason = report == nullptr || report->fencedEpoch < host.epoch
        ? "the host has not confirmed the drain"
        : std::to_string(report->running) + " tasks still run";
    const std::int64_t left = host.drainDeadline - now;
    return reason
        + (left >= 0 ? ", deadline in " + std::to_string(left) + " s"
                     : ", past its deadline by " + std::to_string(-left) + " s");
}

std::string waitReason(const HostRow &host, const FleetKnowledge &knowledge, std::int64_t now)
{
    if (host.state == HostState::Serving)
        return {};
    if (!knowledge.hasPlatform)
        return "the platform's host interface does not answer this controller";
    const auto found = knowledge.reports.find(host.host);
    const HostReport *report = found != knowledge.reports.end() ? &found->second : nullptr;
    if (host.state == HostState::Draining)
        return drainReason(host, report, now);
    if (report == nullptr)
        return "the host does not answer";
    return host.state == HostState::Out ? "under maintenance"
                                        : "the host has not confirmed its admission";
}

api::HostStatus hostStatus(const HostRow &host, const FleetKnowledge &knowledge, std::int64_t now)
{
    api::HostStatus status;
    status.name = host.host;
    status.rack = host.rack;
    status.zone = host.zone;
    status.pool = host.pool;
    status.state = toString(host.state);
    status.targetPool = host.targetPool;
    status.operationId = host.operationId;
    status.epoch = std::int64_t(host.epoch);
    status.drainDeadline = host.drainDeadline;
    status.maintainedAt = host.maintainedAt;
    status.isLost = knowledge.isLost(host);
    status.waitsFor = waitReason(host, knowledge, now);
    return status;
}

api::DomainStatus domainStatus(const BudgetRow &budget, const FleetRows &rows)
{
    api::DomainStatus status;
    status.domain = budget.domain;
    status.limit = std::int32_t(budget.limit);
    for (const HostRow &host : rows.hosts) {
        const auto domains = domainsOf(host);
        status.hosts += std::find(domains.begin(), domains.end(), budget.domain) != domains.end();
    }
    for (const BudgetUnit &unit : budget.units) {
        api::DomainUnit entry;
        entry.host = unit.host;
        entry.holder = unit.holder;
        status.units.push_back(std::move(entry));
    }
    return status;
}

std::vector<std::string> waveReasons(const WaveRow &wave, const WaveProgress &progress,
                                     const FleetKnowledge &knowledge)
{
    if (isEnded(wave) && progress.out == 0)
        return {};
    std::vector<std::string> reasons;
    if (wave.state == WaveState::Paused)
        reasons.emplace_back("paused by an operator");
    if (wave.state == WaveState::Stopped)
        reasons.push_back("stopped: " + wave.stopReason);
    if (!knowledge.hasPlatform)
        reasons.emplace_back("the platform's host interface does not answer this controller");
    for (const std::string &host : progress.overdue)
        reasons.push_back(host + " has not drained by its deadline");
    if (progress.lost > 0)
        reasons.push_back("hosts lost by accident: " + std::to_string(progress.lost));
    if (wave.state == WaveState::Running)
        reasons.insert(reasons.end(), progress.waitsFor.begin(), progress.waitsFor.end());
    return reasons;
}

api::WaveStatus waveStatus(const WaveRow &wave, const WaveProgress &progress,
                           const FleetKnowledge &knowledge)
{
    api::WaveStatus status;
    status.id = wave.id;
    status.state = toString(wave.state);
    status.stopReason = wave.stopReason;
    status.total = std::int32_t(progress.total);
    status.done = std::int32_t(progress.done);
    status.hostsOut = std::int32_t(progress.out);
    status.lost = std::int32_t(progress.lost);
    status.overdue = progress.overdue;
    status.skipped = progress.skipped;
    status.startedAt = wave.startedAt;
    status.expectedEnd = isEnded(wave) ? 0 : progress.expectedEnd;
    status.deadline = wave.deadline;
    status.isLate = !isEnded(wave) && progress.isLate;
    status.waitsFor = waveReasons(wave, progress, knowledge);
    return status;
}

} // namespace

bool FleetKnowledge::isLost(const HostRow &host) const
{
    const auto found = listed.find(host.host);
    return found == listed.end() || found->second.isLeaving;
}

std::vector<WaveHost> waveHosts(const FleetRows &rows, const FleetKnowledge &knowledge)
{
    std::vector<WaveHost> hosts;
    for (std::size_t i = 0; i < rows.hosts.size(); ++i) {
        hosts.push_back({.row = rows.hosts[i],
                         .version = rows.hostVersions[i],
                         .isLost = knowledge.isLost(rows.hosts[i]),
                         .expectedOut = std::int64_t(std::llround(knowledge.averageOutSeconds))});
    }
    return hosts;
}

api::FleetAnswer viewFleet(const FleetRows &rows, const FleetKnowledge &knowledge, std::int64_t now)
{
    api::FleetAnswer answer;
    for (const HostRow &host : rows.hosts)
        answer.hosts.push_back(hostStatus(host, knowledge, now));
    for (const VersionedBudgetRow &budget : rows.budgets)
        answer.domains.push_back(domainStatus(budget.row, rows));
    const std::vector<WaveHost> hosts = waveHosts(rows, knowledge);
    for (const VersionedWaveRow &wave : rows.waves) {
        const WaveTick tick = planWaveTick(
            {.wave = wave.row, .version = wave.version, .hosts = hosts, .budgets = rows.budgets},
            now);
        answer.waves.push_back(waveStatus(wave.row, tick.progress, knowledge));
    }
    return answer;
}

} // namespace sequoiapier
