// HttpCall and HttpAnswer: a request that HttpClient makes, and its result.
#pragma once

#include "net/httpmessage.h"
#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <functional>

namespace sequoiapier {

// Connections that a call may use.
enum class ConnectionUse : std::uint8_t {
    Fresh, // a new connection only; its handshake proves that it is alive
    Reuse, // an idle connection to the same endpoint if there is one, otherwise a new one
    ReuseProved, // like Reuse, but only an idle connection that ConnectionHealth holds proved alive
};

struct HttpCall
{
    std::string address; // IP address
    std::uint16_t port = 0;
    HttpRequest request;
    TimePoint deadline;
    ConnectionUse connectionUse = ConnectionUse::Reuse;
    // Name of a request header that the server may echo; empty if there is none. A response with
    // another value of it answers another request, and the call ends as Lost.
    std::string echoedHeader;
    // Called immediately before the first byte is written, unless empty. The call ends as NotSent
    // if it returns false.
    std::function<bool()> maySend;
};

enum class HttpOutcome : std::uint8_t {
    Answered, // a complete response was received
    NotSent, // no byte of the request left this process
    Lost, // no valid response was received; the request may have reached the server
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    bool timedOut = false;
    HttpResponse response{.status = 0}; // complete only if `outcome` is Answered

    bool isOk() const { return outcome == HttpOutcome::Answered && response.status == StatusOk; }
};

using HttpCallback = std::function<void(HttpAnswer)>;

} // namespace sequoiapier
