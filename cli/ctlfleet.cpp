#include "cli/ctlfleet.h"

#include "cli/ctlcall.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t BarWidth = 30;

using Row = std::vector<std::string>;

nlohmann::json toJson(const api::HostStatus &host)
{
    return {{"name", host.name},
            {"rack", host.rack},
            {"zone", host.zone},
            {"pool", host.pool},
            {"state", host.state},
            {"targetPool", host.targetPool},
            {"operationId", host.operationId},
            {"epoch", host.epoch},
            {"drainDeadline", host.drainDeadline},
            {"maintainedAt", host.maintainedAt},
            {"isLost", host.isLost},
            {"waitsFor", host.waitsFor}};
}

nlohmann::json toJson(const api::DomainUnit &unit)
{
    return {{"host", unit.host}, {"holder", unit.holder}};
}

nlohmann::json toJson(const api::DomainStatus &domain)
{
    nlohmann::json units = nlohmann::json::array();
    for (const api::DomainUnit &unit : domain.units)
        units.push_back(toJson(unit));
    return {{"domain", domain.domain},
            {"limit", domain.limit},
            {"hosts", domain.hosts},
            {"units", std::move(units)}};
}

nlohmann::json toJson(const api::WaveStatus &wave)
{
    return {{"id", wave.id},
            {"state", wave.state},
            {"stopReason", wave.stopReason},
            {"total", wave.total},
            {"done", wave.done},
            {"out", wave.hostsOut},
            {"lost", wave.lost},
            {"overdue", wave.overdue},
            {"skipped", wave.skipped},
            {"startedAt", wave.startedAt},
            {"expectedEnd", wave.expectedEnd},
            {"deadline", wave.deadline},
            {"isLate", wave.isLate},
            {"waitsFor", wave.waitsFor}};
}

template<typename Entry>
nlohmann::json toJsonArray(const std::vector<Entry> &entries)
{
    nlohmann::json array = nlohmann::json::array();
    for (const Entry &entry : entries)
        array.push_back(toJson(entry));
    return array;
}

// Prints the rows with each column as wide as its longest entry.
void printTable(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const Row &row : rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            std::cout << std::left << std::setw(int(widths[i]) + 2) << row[i];
        std::cout << row.back() << "\n";
    }
}

std::string timeText(std::int64_t seconds)
{
    if (seconds == 0)
        return "-";
    const std::time_t time = seconds;
    std::ostringstream text;
    text << std::put_time(std::gmtime(&time), "%F %T UTC");
    return text.str();
}

template<typename Print>
int printFleet(const CtlSettings &settings, Print print)
{
    const auto answer
        = detail::callOnce<api::OperatorService_fleet_args, api::OperatorService_fleet_result>(
            settings, detail::OperatorPath, "fleet", {});
    if (!answer.reply)
        return detail::printFailure(answer.outcome, answer.detail);
    const api::FleetAnswer &fleet = answer.reply->success;
    if (fleet.code != int(ResultCode::Ok)) {
        std::cerr << fleet.code << " " << fleet.detail << "\n";
        return int(ResultCode::Unreachable);
    }
    print(fleet);
    return int(ResultCode::Ok);
}

void printHostTable(const std::vector<api::HostStatus> &hosts)
{
    std::vector<Row> rows{{"HOST", "POOL", "RACK", "ZONE", "STATE", "MAINTAINED", "WAITS FOR"}};
    for (const api::HostStatus &host : hosts) {
        const std::string pool
            = host.pool + (host.targetPool.empty() ? "" : " to " + host.targetPool);
        rows.push_back({host.name, pool, host.rack, host.zone,
                        host.state + (host.isLost ? ", lost" : ""), timeText(host.maintainedAt),
                        host.waitsFor.empty() ? "-" : host.operationId + ": " + host.waitsFor});
    }
    printTable(rows);
}

void printDomainTable(const std::vector<api::DomainStatus> &domains)
{
    std::vector<Row> rows{{"DOMAIN", "HOSTS", "OUT", "LIMIT", "WHICH"}};
    for (const api::DomainStatus &domain : domains) {
        std::string which;
        for (const api::DomainUnit &unit : domain.units) {
            which += (which.empty() ? "" : ", ") + unit.host + " ("
                + (unit.holder.empty() ? "lost" : unit.holder) + ")";
        }
        rows.push_back({domain.domain, std::to_string(domain.hosts),
                        std::to_string(domain.units.size()), std::to_string(domain.limit),
                        which.empty() ? "-" : which});
    }
    printTable(rows);
}

void printWave(const api::WaveStatus &wave)
{
    std::cout << wave.id << "  " << wave.state << "  "
              << progressBar(std::size_t(wave.done), std::size_t(wave.total), BarWidth) << " "
              << wave.done << "/" << wave.total << " done, " << wave.hostsOut << " out\n";
    if (wave.expectedEnd != 0) {
        std::cout << "    expected end " << timeText(wave.expectedEnd)
                  << (wave.isLate ? ", past its deadline " + timeText(wave.deadline) : "") << "\n";
    }
    for (const std::string &host : wave.skipped)
        std::cout << "    skipped: " << host << " did not drain in time\n";
    for (const std::string &reason : wave.waitsFor)
        std::cout << "    waits: " << reason << "\n";
}

} // namespace

int sendFleetEdit(const CtlSettings &settings,
                  const std::function<void(api::FleetEdit &edit)> &fill)
{
    const detail::OperationId id = detail::operationId(settings);
    api::OperatorService_changeFleet_args args;
    args.request.operationId = id.text;
    args.request.isNewId = id.isNew;
    fill(args.request.edit);
    return detail::printChange(settings,
                               detail::callOnce<api::OperatorService_changeFleet_args,
                                                api::OperatorService_changeFleet_result>(
                                   settings, detail::OperatorPath, "changeFleet", args));
}

int printHosts(const CtlSettings &settings)
{
    return printFleet(settings, [&](const api::FleetAnswer &fleet) {
        if (settings.isJson)
            std::cout << nlohmann::json{{"hosts", toJsonArray(fleet.hosts)}} << "\n";
        else
            printHostTable(fleet.hosts);
    });
}

int printPools(const CtlSettings &settings)
{
    return printFleet(settings, [&](const api::FleetAnswer &fleet) {
        if (settings.isJson)
            std::cout << nlohmann::json{{"domains", toJsonArray(fleet.domains)}} << "\n";
        else
            printDomainTable(fleet.domains);
    });
}

int printWaves(const CtlSettings &settings)
{
    return printFleet(settings, [&](const api::FleetAnswer &fleet) {
        if (settings.isJson) {
            std::cout << nlohmann::json{{"waves", toJsonArray(fleet.waves)}} << "\n";
            return;
        }
        for (const api::WaveStatus &wave : fleet.waves)
            printWave(wave);
    });
}

std::vector<std::string> splitNames(const std::string &names)
{
    std::vector<std::string> words;
    std::istringstream stream(names);
    for (std::string word; std::getline(stream, word, ',');)
        words.push_back(word);
    return words;
}

std::string progressBar(std::size_t done, std::size_t total, std::size_t width)
{
    const std::size_t filled = total == 0 ? 0 : width * std::min(done, total) / total;
    return "[" + std::string(filled, '#') + std::string(width - filled, '.') + "]";
}

} // namespace sequoiapier
