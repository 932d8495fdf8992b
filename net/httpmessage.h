// The parts of an HTTP exchange, apart from the connection that carries it.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiapier {

struct HttpHeader
{
    std::string name; // lower case
    std::string value;
};

// The value of the header called `name`, or an empty view.
inline std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

struct HttpRequest
{
    std::string method;
    std::string path; // without the query on a server, with it on a client
    std::string query; // on a server: what follows the question mark
    std::vector<HttpHeader> headers; // only those that the server was told to keep
    std::string body;
};

inline constexpr int StatusOk = 200;

struct HttpResponse
{
    int status = StatusOk;
    std::vector<HttpHeader> headers;
    std::string body;
};

} // namespace sequoiapier
