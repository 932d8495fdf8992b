// HttpExchange: one request received by HttpServer and its response.
//
// The handler may keep the exchange and reply later from the loop. A second reply, or a reply after
// the caller has disconnected, has no effect.
#pragma once

#include "net/httpmessage.h"

#include <functional>

struct lws;

namespace sequoiapier {

class HttpExchange
{
public:
    explicit HttpExchange(lws *connection)
        : m_connection(connection)
    { }

    const HttpRequest &request() const { return m_request; }
    bool isOpen() const { return m_connection != nullptr && !m_replied; }
    void reply(HttpResponse response);
    // Detaches the exchange from its connection. Later replies have no effect.
    void discard() { m_connection = nullptr; }
    // Sets a hook that is called once if the caller disconnects before the reply.
    void onClosed(std::function<void()> hook) { m_closedHook = std::move(hook); }

private:
    friend class HttpServer;

    lws *m_connection;
    bool m_dispatched = false;
    bool m_replied = false;
    bool m_isReadPaused = false; // until the reply
    std::size_t m_announcedBytes = 0; // length of the body
    HttpRequest m_request;
    HttpResponse m_response;
    std::function<void()> m_closedHook;
};

} // namespace sequoiapier
