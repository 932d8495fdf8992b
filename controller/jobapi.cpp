// A status request reads the job's ended row, then its record, then its live row, and then its
// ended row and its live row once more. The repeat finds a job that ends between two reads.
#include "controller/jobapi.h"

#include "controller/jobrequest.h"

#include <set>
#include <utility>

namespace sequoiapier {

namespace {

api::JobAnswer toAnswer(const std::string &id, ResultCode code, const std::string &detail)
{
    api::JobAnswer answer;
    answer.id = id;
    answer.code = int(code);
    answer.detail = detail;
    return answer;
}

api::JobStatus toStatus(const JobRow &row)
{
    api::JobStatus status;
    status.id = row.id;
    status.code = int(row.code);
    status.state = toString(row.state);
    status.detail = row.detail;
    status.worker = row.worker;
    status.attempt = std::int64_t(row.attempt);
    status.team = row.team;
    status.pool = row.pool;
    return status;
}

api::JobStatus toStatus(const Error &error)
{
    api::JobStatus status;
    status.code = int(error.code);
    status.detail = error.detail;
    return status;
}

template<typename Reply, typename Value>
void send(const RpcServer::Answer<Reply> &answer, Value value)
{
    Reply reply;
    reply.success = std::move(value);
    reply.__isset.success = true;
    answer(reply);
}

template<typename Items, typename IdOf>
std::vector<api::JobAnswer> refuseAll(const Items &items, IdOf idOf, const Error &error)
{
    std::vector<api::JobAnswer> answers;
    answers.reserve(items.size());
    for (const auto &item : items)
        answers.push_back(toAnswer(idOf(item), error.code, error.detail));
    return answers;
}

std::string idOfRequest(const api::JobRequest &request)
{
    return request.id;
}

} // namespace

JobApi::JobApi(Hooks hooks)
    : m_hooks(std::move(hooks))
{
    addSubmit();
    addCancel();
    addReads();
}

void JobApi::addSubmit()
{
    using Reply = api::JobService_submit_result;
    m_rpc.add<api::JobService_submit_args, Reply>("submit", [this](const auto &args, auto answer) {
        const Result<std::string> team = m_hooks.findTeam(args.key);
        if (!team) {
            send<Reply>(answer, refuseAll(args.jobs, idOfRequest, team.error()));
        } else if (args.jobs.size() > MaxSubmitted) {
            const Error error{ResultCode::ChangeInvalid, "more than 200 jobs in a call"};
            send<Reply>(answer, refuseAll(args.jobs, idOfRequest, error));
        } else {
            submit(team.value(), args.jobs, args.isNewId,
                   [answer](std::vector<api::JobAnswer> answers) {
                       send<Reply>(answer, std::move(answers));
                   });
        }
    });
}

void JobApi::submit(const std::string &team, const std::vector<api::JobRequest> &requests,
                    bool isNewId, std::function<void(std::vector<api::JobAnswer>)> answer)
{
    std::vector<api::JobAnswer> answers;
    std::vector<JobRow> rows;
    std::vector<std::size_t> answerIndexes; // Index into `answers` of each row.
    std::set<std::string> ids;
    for (const api::JobRequest &request : requests) {
        Result<JobRow> row = parseJobRequest(request, team, m_hooks.configuration());
        if (row && !ids.insert(request.id).second)
            row = Error{ResultCode::ChangeInvalid, "the identifier is twice in the call"};
        answers.push_back(row ? toAnswer(request.id, ResultCode::CommitUnknown, "")
                              : toAnswer(request.id, row.error().code, row.error().detail));
        if (row) {
            answerIndexes.push_back(answers.size() - 1);
            rows.push_back(std::move(row.value()));
        }
    }
    JobSubmission::run(m_hooks.changes, rows, isNewId,
                       [this, rows, answers = std::move(answers),
                        answerIndexes = std::move(answerIndexes),
                        answer = std::move(answer)](const auto &outcomes) mutable {
                           for (std::size_t i = 0; i < outcomes.size(); ++i) {
                               api::JobAnswer &jobAnswer = answers[answerIndexes[i]];
                               jobAnswer.code = int(outcomes[i].code);
                               jobAnswer.detail = outcomes[i].detail;
                               if (outcomes[i].code == ResultCode::Committed)
                                   m_hooks.submitted(rows[i]);
                           }
                           answer(std::move(answers));
                       });
}

void JobApi::addCancel()
{
    using Reply = api::JobService_cancel_result;
    m_rpc.add<api::JobService_cancel_args, Reply>("cancel", [this](const auto &args, auto answer) {
        Result<std::string> team = m_hooks.findTeam(args.key);
        if (team && args.ids.size() > MaxCancelled)
            team = Error{ResultCode::ChangeInvalid, "more than 20,000 jobs in a call"};
        if (!team) {
            const auto same = [](const std::string &id) { return id; };
            send<Reply>(answer, refuseAll(args.ids, same, team.error()));
            return;
        }
        JobCancellation::run(m_hooks.changes, team.value(), args.pool, args.ids,
                             [answer, ids = args.ids](const std::vector<JobOutcome> &outcomes) {
                                 std::vector<api::JobAnswer> answers;
                                 for (std::size_t i = 0; i < ids.size(); ++i)
                                     answers.push_back(
                                         toAnswer(ids[i], outcomes[i].code, outcomes[i].detail));
                                 send<Reply>(answer, std::move(answers));
                             });
    });
}

void JobApi::addReads()
{
    using StatusReply = api::JobService_status_result;
    m_rpc.add<api::JobService_status_args, StatusReply>(
        "status", [this](const auto &args, auto answer) {
            const Result<std::string> team = m_hooks.findTeam(args.key);
            const StatusAnswer reply
                = [answer](const api::JobStatus &status) { send<StatusReply>(answer, status); };
            if (team)
                status(team.value(), args.id, reply);
            else
                reply(toStatus(team.error()));
        });
    using ListReply = api::JobService_listJobs_result;
    m_rpc.add<api::JobService_listJobs_args, ListReply>(
        "listJobs", [this](const auto &args, auto answer) {
            const Result<std::string> team = m_hooks.findTeam(args.key);
            const auto reply
                = [answer](const api::JobList &jobs) { send<ListReply>(answer, jobs); };
            if (team) {
                list(team.value(), args.pool, reply);
                return;
            }
            api::JobList refused;
            refused.code = int(team.error().code);
            refused.detail = team.error().detail;
            reply(refused);
        });
}

void JobApi::readJob(const std::string &key, const StatusAnswer &answer,
                     std::function<void(const JobRow &)> ifFound, std::function<void()> ifAbsent)
{
    m_hooks.changes.table.read(
        key, deadline(),
        [answer, ifFound = std::move(ifFound),
         ifAbsent = std::move(ifAbsent)](const Result<std::optional<TableRow>> &row) {
            if (!row) {
                answer(toStatus(row.error()));
                return;
            }
            if (!row.value()) {
                ifAbsent();
                return;
            }
            const Result<JobRow> job = parseJobRow(row.value()->value);
            if (job)
                ifFound(job.value());
            else
                answer(toStatus(job.error()));
        });
}

void JobApi::status(const std::string &team, const std::string &id, const StatusAnswer &answer)
{
    answerEndedStatus(team, id, answer, [this, team, id, answer] {
        readJob(
            jobRecordKey(team, id), answer,
            [this, answer](const JobRow &record) { answerLiveStatus(record, answer, false); },
            [answer] {
                answer(toStatus({ResultCode::NotFound, "the team has no such job"}));
            });
    });
}

void JobApi::answerLiveStatus(const JobRow &record, const StatusAnswer &answer, bool isLast)
{
    readJob(
        liveJobKey(record), answer, [answer](const JobRow &row) { answer(toStatus(row)); },
        [this, record, answer, isLast] {
            if (isLast) {
                answer(toStatus({ResultCode::InternalError, "the job has a record only"}));
                return;
            }
            answerEndedStatus(record.team, record.id, answer,
                              [this, record, answer] { answerLiveStatus(record, answer, true); });
        });
}

void JobApi::answerEndedStatus(const std::string &team, const std::string &id,
                               const StatusAnswer &answer, const std::function<void()> &ifAbsent)
{
    readJob(
        endedJobKey(team, id), answer, [answer](const JobRow &row) { answer(toStatus(row)); },
        ifAbsent);
}

void JobApi::list(const std::string &team, const std::string &pool,
                  std::function<void(const api::JobList &)> answer)
{
    m_hooks.changes.table.scan(
        liveJobPrefix(pool) + team + "/", deadline(),
        [answer = std::move(answer)](const Result<std::vector<TableRow>> &rows) {
            api::JobList jobs;
            if (!rows) {
                jobs.code = int(rows.error().code);
                jobs.detail = rows.error().detail;
                answer(jobs);
                return;
            }
            for (const TableRow &row : rows.value()) {
                const Result<JobRow> job = parseJobRow(row.value);
                jobs.jobs.push_back(job ? toStatus(job.value()) : toStatus(job.error()));
            }
            answer(jobs);
        });
}

} // namespace sequoiapier
