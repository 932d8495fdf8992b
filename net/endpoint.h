// Endpoint: an IP address and a TCP port, written as "127.0.0.1:8080".
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// Returns InvalidSettings if `text` is not an endpoint with a port above 0.
Result<Endpoint> parseEndpoint(std::string_view text);

// Parses comma-separated endpoints. An empty text gives an empty list.
Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

std::string toString(const Endpoint &endpoint);

} // namespace sequoiapier
