// HttpServer: HTTP/1.1 on one address and port, over libwebsockets.
//
//   HttpServer server(loop, {.address = "127.0.0.1", .port = 8080},
//                     [](std::shared_ptr<HttpExchange> exchange) { exchange->reply({}); });
//   if (!server.isListening()) ...
//
// Memory: maxConnections * (maxHeaderBytes of the loop + maxBodyBytes). A longer body is answered
// RequestTooLarge, a chunked one RequestMalformed, a connection past the bound is closed at once,
// and a sender that takes longer than readTimeout is cut off.
#pragma once

#include "net/httpexchange.h"
#include "net/timer.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

struct lws;
struct lws_vhost;

namespace sequoiapier {

class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    struct Options
    {
        std::string address; // IP number
        std::uint16_t port = 0;
        std::size_t maxBodyBytes = 1024 * 1024;
        std::size_t maxConnections = 1024;
        unsigned readTimeoutSeconds = 10; // for headers and body
        std::vector<std::string> keptHeaders; // lower case; others are dropped
        // The response to a request that the server refuses itself; by default a bare status.
        std::function<HttpResponse(const Error &)> refusal;
    };

    HttpServer(Loop &loop, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Whether it could listen, until stopListening().
    bool isListening() const { return m_vhost != nullptr && !m_stopsListening; }
    std::size_t connectionCount() const { return m_connections; }
    std::uint64_t refusedConnectionCount() const { return m_refusedConnections; }

    std::size_t openExchangeCount() const { return m_exchanges.size(); }

    // From now on every response says "connection: close" and ends its connection.
    void closeAfterReplies() { m_isClosing = true; }
    // Refuses new connections as soon as none waits to be accepted; those that are open are served
    // on. A server that has never accepted one does so after the first.
    void stopListening();
    // Whether a request is open, or a connection, a request or a response came or went since the
    // last call, or a connection may still wait to be accepted after stopListening().
    bool takeActivity();

    // libwebsockets' callback; `reason` is an lws_callback_reasons.
    static int handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length);

private:
    int onRequest(lws *connection, std::string_view path);
    int onBody(lws *connection, std::string_view data);
    int onBodyComplete(lws *connection);
    int onWriteable(lws *connection);
    int writeResponse(lws *connection, const HttpResponse &response);
    int closeWhenWritten(lws *connection);
    bool acceptsFrom(lws *listener);
    void closeListener();
    void onClosed(lws *connection);
    void readHeaders(lws *connection, HttpRequest &request) const;
    void refuse(HttpExchange &exchange, const Error &error) const;
    void dispatch(const std::shared_ptr<HttpExchange> &exchange);

    Loop &m_loop;
    Options m_options;
    Handler m_handler;
    lws_vhost *m_vhost = nullptr;
    lws *m_listener = nullptr; // known from the first connection on
    bool m_stopsListening = false;
    Timer m_listenerTimer;
    std::size_t m_connections = 0;
    std::uint64_t m_refusedConnections = 0;
    bool m_isClosing = false;
    bool m_wasActive = false;
    std::unordered_map<lws *, std::shared_ptr<HttpExchange>> m_exchanges;
    std::unordered_set<lws *> m_closingConnections; // to be closed once their output is written
    std::vector<unsigned char> m_buffer;
};

} // namespace sequoiapier
