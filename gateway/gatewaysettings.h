// GatewaySettings: the command-line and environment settings of a gateway process.
#pragma once

#include "cli/daemon.h"
#include "net/endpoint.h"

#include <optional>

namespace sequoiapier {

struct GatewaySettings
{
    CommonSettings common;
    std::int64_t callerPort = 0;
    std::int64_t maxBodyBytes = 1024 * 1024;
    std::int64_t maxCallerConnections = 1024;
    std::string tableEndpoint;
    std::string liveListEndpoint; // empty if no live list is read
    std::int64_t longestWorkMilliseconds = 60'000;
    // Time without callers' traffic that ends a drain.
    std::int64_t quietMilliseconds = 250;
};

// Returns nullopt after --help or --version. Fails with InvalidSettings, whose detail lists every
// error.
Result<std::optional<GatewaySettings>> parseGatewaySettings(std::span<const char *const> args);

} // namespace sequoiapier
