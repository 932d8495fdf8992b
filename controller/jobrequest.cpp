#include "controller/jobrequest.h"

#include <algorithm>
#include <cmath>

namespace sequoiapier {

namespace {

constexpr double MaxAmount = 1'000'000; // Cores, GB or devices.

// Accepts letters, digits, '-', '_' and '.', so that the name can be part of a row's key.
bool isName(std::string_view text, std::size_t maxBytes)
{
    const auto isAllowed
        = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maxBytes
        && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isAmount(double amount)
{
    return std::isfinite(amount) && amount >= 0 && amount <= MaxAmount;
}

bool isSize(const Resources &size)
{
    return isAmount(size.processors) && isAmount(size.memory) && isAmount(size.accelerators)
        && (size.processors > 0 || size.memory > 0);
}

// Payloads must be ASCII: JSON holds UTF-8 only, so other bytes would not survive a round trip.
bool isAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x80; });
}

Error invalid(const char *detail)
{
    return {ResultCode::ChangeInvalid, detail};
}

} // namespace

Result<JobRow> parseJobRequest(const api::JobRequest &request, const std::string &team,
                               const Configuration &configuration)
{
    JobRow row{.id = request.id,
               .team = team,
               .pool = request.pool,
               .jobClass = request.jobClass,
               .size = {request.processors, request.memory, request.accelerators},
               .priority = std::uint32_t(std::max(request.priority, 0)),
               .isUrgent = request.isUrgent,
               .isRerunnable = request.isRerunnable,
               .hasCheckpoints = request.hasCheckpoints,
               .payload = request.payload};
    if (!isName(row.id, MaxJobIdBytes))
        return invalid("id must have 1 to 64 letters, digits, '-', '_' or '.'");
    if (!row.jobClass.empty() && !isName(row.jobClass, MaxJobClassBytes))
        return invalid("jobClass must have at most 64 letters, digits, '-', '_' or '.'");
    if (!isSize(row.size))
        return invalid("sizes must be from 0 to 1,000,000, processors or memory above 0");
    if (request.priority < 0 || request.priority > MaxJobPriority)
        return invalid("priority must be from 0 to 1000");
    if (row.payload.size() > MaxJobPayloadBytes || !isAscii(row.payload))
        return invalid("payload must have at most 512 bytes of ASCII");
    const auto isPool = [&](const PoolConfig &pool) { return pool.name == row.pool; };
    if (std::none_of(configuration.pools.begin(), configuration.pools.end(), isPool))
        return Error{ResultCode::NotFound, "no pool '" + row.pool + "'"};
    return row;
}

} // namespace sequoiapier
