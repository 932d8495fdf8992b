// JobRow: the table row of a job.
//
//   Result<JobRow> row = parseJobRow(text);
//   bool mayStart = row && row.value().state == JobState::Placed;
//
// A job has up to three rows:
//   job/record/TEAM/ID     the request; written with the submission and never changed
//   job/live/POOL/TEAM/ID  the current state; exists until the job ends
//   job/ended/TEAM/ID      the final state; written in the commit that removes the live row
// The record prevents a late or repeated submission from reviving an ended job.
//
// A run is identified by the job and its attempt. The attempt is incremented in the commit that
// places the job, before any command is sent, and only after a report showed the end of the
// previous attempt.
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
    Placed, // The start command may have been sent.
    Running, // A report shows the run.
    Stopping, // Cancelled; no report shows the end of its run yet.
    Done,
    Failed,
    Impossible, // No host of the pool can ever run it.
    Cancelled,
    Unknown, // Its run was lost, and the job must not run twice.
};

struct JobRow
{
    std::string id; // Unique within the team.
    std::string team;
    std::string pool;
    std::string jobClass;
    Resources size; // As declared by the team.
    std::uint32_t priority = 0;
    bool isUrgent = false;
    bool isRerunnable = false;
    bool hasCheckpoints = false;
    std::string payload;

    JobState state = JobState::Waiting;
    std::string worker; // Worker of the last attempt.
    std::uint64_t attempt = 0; // 0: never placed.
    std::uint32_t failures = 0; // Number of failed attempts.
    std::vector<std::string> failedOn; // Workers on which attempts failed, each once.
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
    std::uint64_t version = 0; // Version of the table row.
};

inline constexpr std::string_view JobKeyPrefix = "job/";

std::string jobRecordKey(std::string_view team, std::string_view id);
std::string liveJobPrefix(std::string_view pool);
std::string liveJobKey(const JobRow &row);
// Key of the pool's full marker, a row that exists while the pool accepts no more jobs. A scan of
// liveJobPrefix() includes it.
std::string fullPoolKey(std::string_view pool);
std::string endedJobKey(std::string_view team, std::string_view id);
// Returns the job's name at the platform's task service: POOL/TEAM/ID.
std::string taskName(const JobRow &row);
std::string_view toString(JobState state);

std::string toJson(const JobRow &row);
// Fails with RowMalformed unless `document` is exactly what toJson() writes for some row.
Result<JobRow> parseJobRow(std::string_view document);

} // namespace sequoiapier
