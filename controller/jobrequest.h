// parseJobRequest: checks what a team asks for and makes a job's first row of it.
#pragma once

#include "controller/jobrow.h"
#include "gen/jobs_types.h"
#include "sequoiapier/configuration.h"

namespace sequoiapier {

inline constexpr std::size_t MaxJobIdBytes = 64;
inline constexpr std::size_t MaxJobClassBytes = 64;
inline constexpr std::size_t MaxJobPayloadBytes = 512;
inline constexpr std::int32_t MaxJobPriority = 1'000;

// NotFound for a pool that is not configured, ChangeInvalid for all else.
Result<JobRow> parseJobRequest(const api::JobRequest &request, const std::string &team,
                               const Configuration &configuration);

} // namespace sequoiapier
