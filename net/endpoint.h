// Endpoint: an IP number and a TCP port, written "127.0.0.1:8080".
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

Result<Endpoint> parseEndpoint(std::string_view text);

// Comma-separated endpoints; an empty text is an empty list.
Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

std::string toString(const Endpoint &endpoint);

} // namespace sequoiapier
