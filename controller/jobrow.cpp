// After strict decoding, parseJobRow() checks the members for consistency: a placed job has a
// worker and an attempt.
#include "controller/jobrow.h"

#include "controller/rowcodec.h"

namespace sequoiapier {

NLOHMANN_JSON_SERIALIZE_ENUM(JobState,
                             {{JobState::Waiting, "waiting"},
                              {JobState::Placed, "placed"},
                              {JobState::Running, "running"},
                              {JobState::Stopping, "stopping"},
                              {JobState::Done, "done"},
                              {JobState::Failed, "failed"},
                              {JobState::Impossible, "impossible"},
                              {JobState::Cancelled, "cancelled"},
                              {JobState::Unknown, "unknown"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, processors, memory, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRow, id, team, pool, jobClass, size, priority, isUrgent,
                                   isRerunnable, hasCheckpoints, payload, state, worker, attempt,
                                   failures, failedOn, code, detail)

std::string jobRecordKey(std::string_view team, std::string_view id)
{
    return std::string(JobKeyPrefix) + "record/" + std::string(team) + "/" + std::string(id);
}

std::string liveJobPrefix(std::string_view pool)
{
    return std::string(JobKeyPrefix) + "live/" + std::string(pool) + "/";
}

std::string fullPoolKey(std::string_view pool)
{
    return liveJobPrefix(pool);
}

std::string liveJobKey(const JobRow &row)
{
    return liveJobPrefix(row.pool) + row.team + "/" + row.id;
}

std::string endedJobKey(std::string_view team, std::string_view id)
{
    return std::string(JobKeyPrefix) + "ended/" + std::string(team) + "/" + std::string(id);
}

std::string taskName(const JobRow &row)
{
    return row.pool + "/" + row.team + "/" + row.id;
}

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Placed:
        return "placed";
    case JobState::Running:
        return "running";
    case JobState::Stopping:
        return "stopping";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    case JobState::Impossible:
        return "impossible";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Unknown:
        break;
    }
    return "unknown";
}

std::string toJson(const JobRow &row)
{
    return nlohmann::json(row).dump();
}

Result<JobRow> parseJobRow(std::string_view document)
{
    Result<JobRow> row = detail::parseRow<JobRow>(document, "job row");
    if (!row)
        return row;
    const JobRow &job = row.value();
    if (job.id.empty() || job.team.empty() || job.pool.empty()
        || (job.isPlaced() && (job.worker.empty() || job.attempt == 0))) {
        return Error{ResultCode::RowMalformed, "job row contradicts itself"};
    }
    return row;
}

} // namespace sequoiapier
