// JobRow: a job in the platform's table.
//
//   Result<JobRow> row = parseJobRow(text);
//   bool mayStart = row && row.value().state == JobState::Placed;
//
// Rows of a job:
//   job/record/TEAM/ID     written with the submission, never changed: what was asked
//   job/live/POOL/TEAM/ID  while the job has not ended
//   job/ended/TEAM/ID      written in the commit that removes the live row
// The record keeps a late or repeated submission from bringing an ended job back.
//
// A run is named by the job and its attempt. The attempt is raised in the commit that answerIndexes
// the job, before any command is sent, and only when the attempt before it is shown to have ended.
#pragma once

#include "sequoiapier/resources.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

enum class JobState : std::uint8_t {
    Waiting,
    Placed, // the start may have been commanded
    Running, // shown by a report
    Stopping, // cancelled; its run is not shown to have ended
    Done,
    Failed,
    Impossible, // no host could ever run it
    Cancelled,
    Unknown, // its run was lost and it must not run twice
};

struct JobRow
{
    std::string id; // unique in its team
    std::string team;
    std::string pool;
    std::string jobClass;
    Resources size; // as declared
    std::uint32_t priority = 0;
    bool isUrgent = false;
    bool isRerunnable = false;
    bool hasCheckpoints = false;
    std::string payload;

    JobState state = JobState::Waiting;
    std::string worker; // of the last attempt
    std::uint64_t attempt = 0; // 0: was never placed
    std::uint32_t failures = 0; // attempts that failed
    std::vector<std::string> failedOn; // workers on which they did
    ResultCode code = ResultCode::JobWaiting;
    std::string detail;

    bool isPlaced() const
    {
        return state == JobState::Placed || state == JobState::Running
            || state == JobState::Stopping;
    }
    bool hasEnded() const { return state >= JobState::Done; }
    bool operator==(const JobRow &) const = default;
};

struct LiveJob
{
    JobRow row;
    std::uint64_t version = 0; // of the table row
};

inline constexpr std::string_view JobKeyPrefix = "job/";

std::string jobRecordKey(std::string_view team, std::string_view id);
std::string liveJobPrefix(std::string_view pool);
std::string liveJobKey(const JobRow &row);
// A row that is there while the pool takes no more jobs. It comes with a scan of liveJobPrefix().
std::string fullPoolKey(std::string_view pool);
std::string endedJobKey(std::string_view team, std::string_view id);
// The job's name at the platform's task service: POOL/TEAM/ID.
std::string taskName(const JobRow &row);
std::string_view toString(JobState state);

std::string toJson(const JobRow &row);
// RowMalformed unless `document` is exactly what toJson() writes for some row.
Result<JobRow> parseJobRow(std::string_view document);

} // namespace sequoiapier
