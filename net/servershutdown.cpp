// Each of the two steps has a QuietTimer.
#include "net/servershutdown.h"

#include <utility>

namespace sequoiapier {

ServerShutdown::ServerShutdown(Loop &loop, HttpServer &server)
    : m_server(server)
    , m_closeTimer(
          loop, [this] { return m_server.takeActivity(); },
          [this] {
              m_server.stopListening();
              m_onClosed();
          })
    , m_answerTimer(
          loop, [this] { return m_server.takeActivity(); }, [this] { m_onAnswered(); })
{ }

void ServerShutdown::drainConnections(Duration quiet, TimePoint deadline,
                                      std::function<void()> closed)
{
    m_onClosed = std::move(closed);
    m_server.closeAfterReplies();
    m_closeTimer.start(quiet, deadline);
}

void ServerShutdown::awaitOpenRequests(TimePoint deadline, std::function<void()> answered)
{
    m_onAnswered = std::move(answered);
    m_answerTimer.start({}, deadline);
}

} // namespace sequoiapier
