// JobApi: serves the methods of api/jobs.thrift on /jobs.
//
//   JobApi api({.changes = {...}, .findTeam = ..., .configuration = ..., .submitted = ...});
//   daemon.route("/jobs", [&](const auto &exchange) { api.serve(exchange); });
#pragma once

#include "controller/jobcancellation.h"
#include "controller/jobsubmission.h"
#include "gen/JobService.h"
#include "net/rpcserver.h"
#include "sequoiapier/configuration.h"

#include <functional>
#include <memory>

namespace sequoiapier {

class JobApi
{
public:
    static constexpr std::size_t MaxSubmitted = 200; // Jobs per call.
    static constexpr std::size_t MaxCancelled = 20'000; // Jobs per call.

    // All hooks are required.
    struct Hooks
    {
        JobSubmission::Hooks changes;
        // Returns the team of a key, or the reason for which the key is refused.
        std::function<Result<std::string>(const std::string &key)> findTeam;
        std::function<const Configuration &()> configuration;
        // Called for each job that was answered as committed, also for a repeated submission.
        std::function<void(const JobRow &)> submitted;
    };

    explicit JobApi(Hooks hooks);

    void serve(const std::shared_ptr<HttpExchange> &exchange) { m_rpc.serve(exchange); }

private:
    using StatusAnswer = std::function<void(const api::JobStatus &)>;

    void addSubmit();
    void addCancel();
    void addReads();
    void submit(const std::string &team, const std::vector<api::JobRequest> &requests, bool isNewId,
                std::function<void(std::vector<api::JobAnswer>)> answer);
    void status(const std::string &team, const std::string &id, const StatusAnswer &answer);
    void answerLiveStatus(const JobRow &record, const StatusAnswer &answer, bool isLast);
    void answerEndedStatus(const std::string &team, const std::string &id,
                           const StatusAnswer &answer, const std::function<void()> &ifAbsent);
    void list(const std::string &team, const std::string &pool,
              std::function<void(const api::JobList &)> answer);
    // Reads a job's row and calls `ifFound` or `ifAbsent`. If the row can't be read or parsed, it
    // answers with the error instead.
    void readJob(const std::string &key, const StatusAnswer &answer,
                 std::function<void(const JobRow &)> ifFound, std::function<void()> ifAbsent);
    TimePoint deadline() const { return m_hooks.changes.now() + m_hooks.changes.tableTimeout; }

    Hooks m_hooks;
    RpcServer m_rpc;
};

} // namespace sequoiapier
