// ServerShutdown: ends an HTTP server without losing a request that reached it.
//
//   ServerShutdown shutdown(loop, server);
//   shutdown.closeToCallers(milliseconds(250), deadline, [&] {
//       shutdown.awaitAnswers(end, [&] { loop.stop(); });
//   });
//
// Callers that have not heard of the shutdown go on sending, so the server stays open to them until
// they are quiet. The deadline passes under steady traffic: new connections are refused then, and
// what was accepted is still answered. A process that ends with the socket open would reset
// connections that it has not read.
#pragma once

#include "net/httpserver.h"
#include "net/quiettimer.h"

#include <functional>

namespace sequoiapier {

class ServerShutdown
{
public:
    ServerShutdown(Loop &loop, HttpServer &server);

    // From now on every response closes its connection. Calls `closed` when new connections are
    // refused: once nothing has come or gone for `quiet`, or at `deadline`.
    void closeToCallers(Duration quiet, TimePoint deadline, std::function<void()> closed);
    // Calls `answered` when no accepted request is open, or at `deadline`.
    void awaitAnswers(TimePoint deadline, std::function<void()> answered);

private:
    HttpServer &m_server;
    std::function<void()> m_closed;
    std::function<void()> m_answered;
    QuietTimer m_quiet;
    QuietTimer m_lastAnswers;
};

} // namespace sequoiapier
