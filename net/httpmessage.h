// HTTP requests, responses and headers, independent of the connection that carries them.
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

// Returns the value of the header `name`, or an empty view if there is none.
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
    std::string path; // includes the query on a client, but not on a server
    std::string query; // set on a server only: the text after the question mark
    std::vector<HttpHeader> headers; // a server keeps only those in its keptHeaders
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
