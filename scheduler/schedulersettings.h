// SchedulerSettings: the command-line and environment settings of a scheduler process.
#pragma once

#include "cli/daemon.h"

#include <optional>

namespace sequoiapier {

struct SchedulerSettings
{
    CommonSettings common;
    std::string tableEndpoint;
    std::int64_t leaseMilliseconds = 3'000;
    std::int64_t outageLeaseMilliseconds = 900'000;
    std::int64_t longestWorkMilliseconds = 60'000;
};

// Returns nullopt after --help or --version. Fails with InvalidSettings, whose detail lists every
// error.
Result<std::optional<SchedulerSettings>> parseSchedulerSettings(std::span<const char *const> args);

} // namespace sequoiapier
