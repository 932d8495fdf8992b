#include "net/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace sequoiapier {

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const Error invalid{ResultCode::InvalidSettings,
                        "'" + std::string(text) + "' is not IP-number:port"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    Endpoint endpoint{.address = std::string(text.substr(0, colon))};
    in6_addr address{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address) != 1
        && inet_pton(AF_INET6, endpoint.address.c_str(), &address) != 1) {
        return invalid;
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error]
        = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc() || end != port.data() + port.size() || endpoint.port == 0)
        return invalid;
    return endpoint;
}

Result<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const auto comma = text.find(',');
        Result<Endpoint> endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint)
            return endpoint.error();
        endpoints.push_back(std::move(endpoint.value()));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return endpoints;
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace sequoiapier
