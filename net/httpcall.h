// A request to be made by HttpClient and how it ended.
#pragma once

#include "net/httpmessage.h"
#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <functional>

namespace sequoiapier {

// Which connection a call may use.
enum class ConnectionUse : std::uint8_t {
    Fresh, // a new connection, proved alive by its handshake
    Reuse, // an idle one to the same endpoint if there is one
    ReuseProved, // as Reuse, but only one that ConnectionHealth calls proved alive
};

struct HttpCall
{
    std::string address; // IP number
    std::uint16_t port = 0;
    HttpRequest request;
    TimePoint deadline;
    ConnectionUse connectionUse = ConnectionUse::Reuse;
    // A header of the request that the server may echo. A response with another value answers
    // another request: the call ends as Lost. Empty: none.
    std::string echoedHeader;
    // Called immediately before the first byte is written; false ends the call as NotSent. May be
    // empty.
    std::function<bool()> maySend;
};

enum class HttpOutcome : std::uint8_t {
    Answered, // a whole response
    NotSent, // no byte of the request left this process
    Lost, // the request may have reached the other end
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    bool timedOut = false;
    HttpResponse response{.status = 0}; // complete only if Answered

    bool isOk() const { return outcome == HttpOutcome::Answered && response.status == StatusOk; }
};

using HttpCallback = std::function<void(HttpAnswer)>;

} // namespace sequoiapier
