// A quiet timer for each of the two steps.
#include "net/servershutdown.h"

#include <utility>

namespace sequoiapier {

ServerShutdown::ServerShutdown(Loop &loop, HttpServer &server)
    : m_server(server)
    , m_quiet(
          loop, [this] { return m_server.takeActivity(); },
          [this] {
              m_server.stopListening();
              m_closed();
          })
    , m_lastAnswers(
          loop, [this] { return m_server.takeActivity(); }, [this] { m_answered(); })
{ }

void ServerShutdown::closeToCallers(Duration quiet, TimePoint deadline,
                                    std::function<void()> closed)
{
    m_closed = std::move(closed);
    m_server.closeAfterReplies();
    m_quiet.start(quiet, deadline);
}

void ServerShutdown::awaitAnswers(TimePoint deadline, std::function<void()> answered)
{
    m_answered = std::move(answered);
    m_lastAnswers.start({}, deadline);
}

} // namespace sequoiapier
