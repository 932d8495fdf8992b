// HttpExchange: one request on a server and the one response it gets.
//
// The handler may keep the exchange and reply later from the loop. A reply after the caller has
// gone, or a second reply, has no effect.
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
    // Detaches the exchange from its connection: a reply goes nowhere.
    void discard() { m_connection = nullptr; }
    // Called once if the caller disconnects before the reply.
    void onClosed(std::function<void()> hook) { m_closedHook = std::move(hook); }

private:
    friend class HttpServer;

    lws *m_connection;
    bool m_dispatched = false;
    bool m_replied = false;
    HttpRequest m_request;
    HttpResponse m_response;
    std::function<void()> m_closedHook;
};

} // namespace sequoiapier
