// parseJobRequest: validates a team's job request and converts it to the job's first row.
#pragma once

#include "controller/jobrow.h"
#include "gen/jobs_types.h"
#include "sequoiapier/configuration.h"

namespace sequoiapier {

inline constexpr std::size_t MaxJobIdBytes = 64;
inline constexpr std::size_t MaxJobClassBytes = 64;
inline constexpr std::size_t MaxJobPayloadBytes = 512;
inline constexpr std::int32_t MaxJobPriority = 1'000;

// Fails with NotFound if the pool is not configured, and with ChangeInvalid for any other fault.
Result<JobRow> parseJobRequest(const api::JobRequest &request, const std::string &team,
                               const Configuration &configuration);

} // namespace sequoiapier
