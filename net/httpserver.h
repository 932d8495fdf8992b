// HttpServer: an HTTP/1.1 server on one address and port, over libwebsockets.
//
//   HttpServer server(loop, {.address = "127.0.0.1", .port = 8080},
//                     [](std::shared_ptr<HttpExchange> exchange) { exchange->reply({}); });
//   if (!server.isListening()) ...
//
// The memory of a body grows with the bytes received. Without a ClientBudget, the server uses at
// most maxConnections * (maxHeaderBytes of the loop + maxBodyBytes) of memory for requests. With
// one, the budget bounds the memory of all its servers, slow senders and readers are closed, and
// no further request of a connection is read while one is open. A body longer than maxBodyBytes is
// answered with RequestTooLarge and a chunked body with RequestMalformed. A connection beyond
// maxConnections is closed at once, and so is that of a sender who takes longer than
// readTimeoutSeconds.
#pragma once

#include "net/clientbudget.h"
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
        std::string address; // IP address
        std::uint16_t port = 0;
        std::size_t maxBodyBytes = 1024 * 1024;
        std::size_t maxConnections = 1024;
        unsigned readTimeoutSeconds = 10; // limit for receiving headers and body
        std::vector<std::string> keptHeaders; // request headers to keep, in lower case
        // Makes the response to a request that the server itself refuses. The default response has
        // the status and the detail of the error.
        std::function<HttpResponse(const Error &)> refusal;
        // Shared by the servers that clients can reach. Must outlive them. May be null.
        ClientBudget *budget = nullptr;
        // With a budget: whether a connection beyond maxConnections replaces the oldest one
        // without a request that is being handled.
        bool isOldestReplaced = false;
    };

    HttpServer(Loop &loop, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Whether the server could bind its port and stopListening() was not called.
    bool isListening() const { return m_vhost != nullptr && !m_isListenerClosing; }
    std::size_t connectionCount() const { return m_connections; }
    std::uint64_t refusedConnectionCount() const { return m_refusedConnections; }

    std::size_t openExchangeCount() const { return m_exchanges.size(); }

    // Makes every further response carry "connection: close" and close its connection.
    void closeAfterReplies() { m_closesAfterReplies = true; }
    // Closes the listening socket as soon as no connection waits to be accepted. Open connections
    // are still served. A server that has not accepted any connection yet closes it after the
    // first.
    void stopListening();
    // Returns whether a request is open, a connection was opened, a request arrived or a response
    // was written since the last call, or a connection may still wait to be accepted after
    // stopListening().
    bool takeActivity();

    // Callback of libwebsockets. `reason` is an lws_callback_reasons.
    static int handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length);

private:
    int onRequest(lws *connection, std::string_view path);
    int onBody(lws *connection, std::string_view data);
    int onBodyComplete(lws *connection);
    int onWriteable(lws *connection);
    int writeResponse(lws *connection, const HttpResponse &response);
    int closeAfterFlush(lws *connection);
    bool onIncomingConnection(lws *listener, int socket);
    void onConnected(lws *connection);
    void closeListener();
    void onClosed(lws *connection);
    void readHeaders(lws *connection, HttpRequest &request) const;
    void refuse(HttpExchange &exchange, const Error &error);
    void refuseForMemory(lws *connection);
    static void refuseAll(const std::vector<ClientBudget::Id> &ids);
    static HttpServer *serverOf(lws *connection);
    bool acceptBody(HttpExchange &exchange, std::size_t bytes);
    void completeResponse(lws *connection, std::size_t responseBytes);
    void check();
    void dispatch(const std::shared_ptr<HttpExchange> &exchange);

    Loop &m_loop;
    Options m_options;
    Handler m_handler;
    lws_vhost *m_vhost = nullptr;
    lws *m_listener = nullptr; // set when the first connection arrives
    bool m_isListenerClosing = false;
    Timer m_listenerTimer;
    std::size_t m_connections = 0;
    std::uint64_t m_refusedConnections = 0;
    bool m_closesAfterReplies = false;
    bool m_wasActive = false;
    std::unordered_map<lws *, std::shared_ptr<HttpExchange>> m_exchanges;
    std::unordered_set<lws *> m_flushingConnections; // close once their output is written
    std::vector<unsigned char> m_buffer;
    int m_budgetServer = -1; // number of this server in the budget
    Timer m_checkTimer; // runs while there is a budget
    std::unordered_set<lws *> m_unsentConnections; // wait until their answer is sent
};

} // namespace sequoiapier
