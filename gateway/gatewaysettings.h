// GatewaySettings: what a gateway process is started with.
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
    std::string liveListEndpoint; // empty: no list is read
    std::int64_t longestWorkMilliseconds = 60'000;
    std::int64_t quietMilliseconds = 250; // without callers' traffic, at the end of a drain
};

// InvalidSettings lists every error; nullopt after --help or --version.
Result<std::optional<GatewaySettings>> parseGatewaySettings(std::span<const char *const> args);

} // namespace sequoiapier
