// Commands of teams on their jobs. The key is read from a file, so that it does not show in a
// process list.
#include "cli/ctlcall.h"
#include "gen/JobService.h"
#include "sequoiapier/boundedjson.h"
#include "sequoiapier/resultcode.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace sequoiapier {

namespace {

std::optional<std::string> readKey(const CtlSettings &settings)
{
    std::ifstream stream(settings.keyFile);
    std::string key;
    if (std::getline(stream, key) && !key.empty())
        return key;
    std::cerr << "--key-file '" << settings.keyFile << "' holds no key\n";
    return std::nullopt;
}

// Calls `method` with the team's key and the arguments that `fill` sets, and prints the answer with
// `print`, which returns the exit status.
template<typename Args, typename Reply, typename Fill, typename Print>
int callJobs(const CtlSettings &settings, const std::string &method, Fill fill, Print print)
{
    const std::optional<std::string> key = readKey(settings);
    if (!key)
        return int(ResultCode::Usage);
    Args args;
    args.key = *key;
    fill(args);
    const auto answer = detail::callOnce<Args, Reply>(settings, "/jobs", method, args);
    if (!answer.reply)
        return detail::printFailure(answer.outcome, answer.detail);
    return print(answer.reply->success);
}

int exitStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
    case ResultCode::Committed:
        return int(ResultCode::Ok);
    case ResultCode::NotCommitted:
    case ResultCode::CommitUnknown:
    case ResultCode::ConfigurationStale:
    case ResultCode::TableUnavailable:
    case ResultCode::TableTimeout:
        return int(ResultCode::Unreachable);
    default:
        return int(ResultCode::Usage);
    }
}

int printAnswers(const std::vector<api::JobAnswer> &answers)
{
    int status = int(ResultCode::Ok);
    for (const api::JobAnswer &answer : answers) {
        const ResultInfo &info = resultInfo(ResultCode(answer.code));
        std::cout << answer.id << " " << answer.code << " " << info.name << " " << answer.detail
                  << "\n";
        if (status == int(ResultCode::Ok))
            status = exitStatus(info.code);
    }
    return status;
}

void printStatus(const api::JobStatus &job)
{
    std::cout << job.id << " " << job.code << " " << resultInfo(ResultCode(job.code)).name << " "
              << job.state << " pool " << job.pool;
    if (!job.worker.empty())
        std::cout << " worker " << job.worker << " attempt " << job.attempt;
    std::cout << " " << job.detail << "\n";
}

Result<api::JobRequest> parseJob(const nlohmann::json &json)
{
    try {
        api::JobRequest job;
        job.id = json.at("id").get<std::string>();
        job.pool = json.at("pool").get<std::string>();
        job.jobClass = json.value("jobClass", std::string());
        job.processors = json.value("processors", 0.0);
        job.memory = json.value("memory", 0.0);
        job.accelerators = json.value("accelerators", 0.0);
        job.priority = json.value("priority", 0);
        job.isUrgent = json.value("isUrgent", false);
        job.isRerunnable = json.value("isRerunnable", false);
        job.hasCheckpoints = json.value("hasCheckpoints", false);
        job.payload = json.value("payload", std::string());
        return job;
    } catch (const nlohmann::json::exception &exception) {
        return Error{ResultCode::Usage, exception.what()};
    }
}

// Reads a file with one JSON object per line; empty lines are skipped.
Result<std::vector<api::JobRequest>> readJobs(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        return Error{ResultCode::Usage, file + " can't be read"};
    std::vector<api::JobRequest> jobs;
    for (std::string line; std::getline(stream, line);) {
        if (line.empty())
            continue;
        Result<api::JobRequest> job = parseJob(parseJson(line));
        if (!job)
            return Error{ResultCode::Usage, file + ": " + job.error().detail};
        jobs.push_back(std::move(job.value()));
    }
    return jobs;
}

int submitJobs(const CtlSettings &settings, const std::string &file)
{
    const Result<std::vector<api::JobRequest>> jobs = readJobs(file);
    if (!jobs) {
        std::cerr << jobs.error().detail << "\n";
        return int(ResultCode::Usage);
    }
    return callJobs<api::JobService_submit_args, api::JobService_submit_result>(
        settings, "submit", [&](auto &args) { args.jobs = jobs.value(); }, printAnswers);
}

int cancelJobs(const CtlSettings &settings, const std::string &ids)
{
    return callJobs<api::JobService_cancel_args, api::JobService_cancel_result>(
        settings, "cancel",
        [&](auto &args) {
            args.pool = settings.pool;
            std::istringstream stream(ids);
            for (std::string id; std::getline(stream, id, ',');)
                args.ids.push_back(id);
        },
        printAnswers);
}

int showJob(const CtlSettings &settings, const std::string &id)
{
    return callJobs<api::JobService_status_args, api::JobService_status_result>(
        settings, "status", [&](auto &args) { args.id = id; },
        [](const api::JobStatus &job) {
            if (!job.state.empty()) {
                printStatus(job);
                return int(ResultCode::Ok);
            }
            std::cerr << job.code << " " << job.detail << "\n";
            return exitStatus(ResultCode(job.code));
        });
}

int listJobs(const CtlSettings &settings)
{
    return callJobs<api::JobService_listJobs_args, api::JobService_listJobs_result>(
        settings, "listJobs", [&](auto &args) { args.pool = settings.pool; },
        [](const api::JobList &jobs) {
            for (const api::JobStatus &job : jobs.jobs)
                printStatus(job);
            if (jobs.code != int(ResultCode::Ok))
                std::cerr << jobs.code << " " << jobs.detail << "\n";
            return exitStatus(ResultCode(jobs.code));
        });
}

} // namespace

std::vector<CtlCommand> ctlJobCommands()
{
    return {
        {{"job", "submit"},
         "FILE",
         [](const auto &settings, auto operands) { return submitJobs(settings, operands[0]); }},
        {{"job", "cancel"},
         "ID,...",
         [](const auto &settings, auto operands) { return cancelJobs(settings, operands[0]); }},
        {{"job", "status"},
         "ID",
         [](const auto &settings, auto operands) { return showJob(settings, operands[0]); }},
        {{"job", "list"}, "", [](const auto &settings, auto) { return listJobs(settings); }},
    };
}

} // namespace sequoiapier
