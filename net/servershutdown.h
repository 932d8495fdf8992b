// ServerShutdown: shuts down an HTTP server without losing a request that reached it.
//
//   ServerShutdown shutdown(loop, server);
//   shutdown.drainConnections(milliseconds(250), deadline, [&] {
//       shutdown.awaitOpenRequests(end, [&] { loop.stop(); });
//   });
//
// Callers that don't know of the shutdown yet continue to send requests, so the server accepts
// connections until there is no more traffic. Under steady traffic this lasts until the deadline;
// then new connections are refused, but accepted requests are still answered. A process that exits
// with the listening socket open would reset connections that it has not read.
#pragma once

#include "net/httpserver.h"
#include "net/quiettimer.h"

#include <functional>

namespace sequoiapier {

class ServerShutdown
{
public:
    ServerShutdown(Loop &loop, HttpServer &server);

    // Makes every further response close its connection. Refuses new connections and calls `closed`
    // once there was no traffic for `quiet`, or at `deadline`.
    void drainConnections(Duration quiet, TimePoint deadline, std::function<void()> closed);
    // Calls `answered` once no accepted request is open, or at `deadline`.
    void awaitOpenRequests(TimePoint deadline, std::function<void()> answered);

private:
    HttpServer &m_server;
    std::function<void()> m_onClosed;
    std::function<void()> m_onAnswered;
    QuietTimer m_closeTimer;
    QuietTimer m_answerTimer;
};

} // namespace sequoiapier
