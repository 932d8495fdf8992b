// libwebsockets stores headers that it knows under a token index and all others by name.
#include "net/headercopy.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace sequoiapier {

namespace {

std::string copyKnownHeader(lws *connection, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(connection, token);
    if (length <= 0)
        return {};
    std::string value(std::size_t(length) + 1, '\0');
    const int copied = lws_hdr_copy(connection, value.data(), length + 1, token);
    value.resize(std::size_t(std::max(copied, 0)));
    return value;
}

std::string copyCustomHeader(lws *connection, const std::string &name)
{
    const std::string withColon = name + ":";
    const int length = lws_hdr_custom_length(connection, withColon.c_str(), int(withColon.size()));
    if (length <= 0)
        return {};
    std::string value(std::size_t(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(connection, value.data(), length + 1, withColon.c_str(),
                                           int(withColon.size()));
    value.resize(std::size_t(std::max(copied, 0)));
    return value;
}

} // namespace

std::string copyQuery(lws *connection)
{
    std::string query;
    for (int fragment = 0;; ++fragment) {
        const int length = lws_hdr_fragment_length(connection, WSI_TOKEN_HTTP_URI_ARGS, fragment);
        if (length <= 0)
            return query;
        std::string part(std::size_t(length) + 1, '\0');
        const int copied = lws_hdr_copy_fragment(connection, part.data(), length + 1,
                                                 WSI_TOKEN_HTTP_URI_ARGS, fragment);
        part.resize(std::size_t(std::max(copied, 0)));
        query += (query.empty() ? "" : "&") + part;
    }
}

std::string copyHeader(lws *connection, const std::string &name)
{
    static const std::array<std::pair<std::string_view, lws_token_indexes>, 7> Known{{
        {"host", WSI_TOKEN_HOST},
        {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
        {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
        {"accept", WSI_TOKEN_HTTP_ACCEPT},
        {"content-length", WSI_TOKEN_HTTP_CONTENT_LENGTH},
        {"retry-after", WSI_TOKEN_HTTP_RETRY_AFTER},
        {"connection", WSI_TOKEN_CONNECTION},
    }};
    const auto known = std::find_if(Known.begin(), Known.end(),
                                    [&](const auto &entry) { return entry.first == name; });
    return known != Known.end() ? copyKnownHeader(connection, known->second)
                                : copyCustomHeader(connection, name);
}

} // namespace sequoiapier
