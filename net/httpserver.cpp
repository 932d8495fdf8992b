// Each server has one libwebsockets vhost. An exchange stays in m_exchanges from the end of its
// request headers until its response is written. Headers and body of a response are written at
// once.
#include "net/httpserver.h"

#include "net/headercopy.h"

#include <libwebsockets.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxHeaderBytes = 4096; // status line and headers of a response
constexpr std::size_t FirstBodyBytes = 4096; // first allocation for a body
// Time between checks for slow clients and for closed connections that aren't read.
constexpr Duration CheckInterval = std::chrono::milliseconds(100);

int serverCallback(lws *connection, lws_callback_reasons reason, void *user, void *in,
                   std::size_t length)
{
    return HttpServer::handleEvent(connection, reason, user, in, length);
}

const std::array<lws_protocols, 2> Protocols{{
    {"http", serverCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

std::string_view methodName(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

ClientBudget::Id budgetId(lws *connection)
{
    return reinterpret_cast<std::uintptr_t>(connection);
}

lws *toConnection(ClientBudget::Id id)
{
    return reinterpret_cast<lws *>(std::uintptr_t(id));
}

// Returns the numeric address of the other end, or an empty string.
std::string peerAddress(int socket)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    std::array<char, NI_MAXHOST> text{};
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0
        || getnameinfo(reinterpret_cast<sockaddr *>(&address), length, text.data(), text.size(),
                       nullptr, 0, NI_NUMERICHOST)
            != 0) {
        return {};
    }
    return text.data();
}

// Whether the other end has closed and all its data has been read.
bool isClosedByPeer(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool hasConnectionClose(const HttpResponse &response)
{
    return std::any_of(response.headers.begin(), response.headers.end(), [](const HttpHeader &h) {
        return h.name == "connection" && h.value == "close";
    });
}

} // namespace

void HttpExchange::reply(HttpResponse response)
{
    if (!isOpen())
        return;
    m_replied = true;
    m_response = std::move(response);
    // libwebsockets reports no writeable event of a connection that isn't read.
    if (std::exchange(m_isReadPaused, false))
        lws_rx_flow_control(m_connection, 1);
    lws_callback_on_writable(m_connection);
}

HttpServer::HttpServer(Loop &loop, Options options, Handler handler)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_listenerTimer(loop, [this] { closeListener(); })
    , m_checkTimer(loop, [this] { check(); })
{
    if (m_options.budget != nullptr) {
        m_budgetServer
            = m_options.budget->addServer({.maxConnections = m_options.maxConnections,
                                           .isOldestReplaced = m_options.isOldestReplaced});
        m_checkTimer.startAt(BootClock::now() + CheckInterval);
    }
    lws_context_creation_info info{};
    info.port = m_options.port;
    info.iface = m_options.address.c_str();
    info.protocols = Protocols.data();
    info.user = this;
    info.vhost_name = m_options.address.c_str();
    info.timeout_secs = m_options.readTimeoutSeconds;
    info.timeout_secs_ah_idle = m_options.readTimeoutSeconds;
    info.keepalive_timeout = 60;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    m_vhost = lws_create_vhost(m_loop.context(), &info);
}

HttpServer::~HttpServer()
{
    for (auto &[connection, exchange] : m_exchanges)
        exchange->m_connection = nullptr;
    if (m_vhost != nullptr)
        lws_vhost_destroy(m_vhost);
}

HttpServer *HttpServer::serverOf(lws *connection)
{
    lws_vhost *vhost = lws_get_vhost(connection);
    return vhost != nullptr ? static_cast<HttpServer *>(lws_vhost_user(vhost)) : nullptr;
}

int HttpServer::handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    HttpServer *server = serverOf(connection);
    if (server == nullptr || server->m_vhost == nullptr)
        return lws_callback_http_dummy(connection, lws_callback_reasons(reason), user, in, length);
    const std::string_view data(static_cast<const char *>(in), in != nullptr ? length : 0);
    switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        return server->onIncomingConnection(connection, int(reinterpret_cast<std::intptr_t>(in)))
            ? 0
            : 1;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        ++server->m_connections;
        server->m_wasActive = true;
        server->onConnected(connection);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        // This event also occurs for the listening socket, which m_connections does not count.
        if (connection == server->m_listener)
            server->m_listener = nullptr;
        else
            server->m_connections -= std::min<std::size_t>(server->m_connections, 1);
        server->m_unsentConnections.erase(connection);
        if (server->m_options.budget != nullptr)
            server->m_options.budget->removeConnection(budgetId(connection));
        return 0;
    case LWS_CALLBACK_HTTP:
        return server->onRequest(connection, data);
    case LWS_CALLBACK_HTTP_BODY:
        return server->onBody(connection, data);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server->onBodyComplete(connection);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server->onWriteable(connection);
    case LWS_CALLBACK_CLOSED_HTTP:
        server->onClosed(connection);
        return 0;
    default:
        return lws_callback_http_dummy(connection, lws_callback_reasons(reason), user, in, length);
    }
}

// Returns whether to accept a connection. Stores the listening socket, which libwebsockets passes
// to this callback only.
bool HttpServer::onIncomingConnection(lws *listener, int socket)
{
    m_listener = listener;
    if (m_isListenerClosing)
        m_listenerTimer.startAt(BootClock::now());
    if (m_options.budget == nullptr) {
        if (m_connections < m_options.maxConnections)
            return true;
        ++m_refusedConnections;
        return false;
    }
    const ClientBudget::Admission admission
        = m_options.budget->admit(m_budgetServer, peerAddress(socket));
    if (admission.replaced) {
        auto *replaced = toConnection(*admission.replaced);
        lws_set_timeout(replaced, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    }
    if (!admission.isAdmitted)
        ++m_refusedConnections;
    return admission.isAdmitted;
}

void HttpServer::onConnected(lws *connection)
{
    if (m_options.budget == nullptr)
        return;
    refuseAll(m_options.budget->addConnection(m_budgetServer, budgetId(connection),
                                              peerAddress(lws_get_socket_fd(connection)),
                                              BootClock::now()));
}

int HttpServer::onRequest(lws *connection, std::string_view path)
{
    m_wasActive = true;
    auto exchange = std::make_shared<HttpExchange>(connection);
    m_exchanges[connection] = exchange;
    HttpRequest &request = exchange->m_request;
    char *uri = nullptr;
    int uriLength = 0;
    request.method = methodName(lws_http_get_uri_and_method(connection, &uri, &uriLength));
    request.path = path;
    request.query = copyQuery(connection);
    readHeaders(connection, request);
    const std::string lengthText = copyHeader(connection, "content-length");
    if (lws_hdr_total_length(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
        refuse(*exchange, {ResultCode::RequestMalformed, "a content-length is required"});
        return 0;
    }
    std::size_t bodyBytes = 0;
    std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), bodyBytes);
    if (bodyBytes > m_options.maxBodyBytes) {
        refuse(*exchange,
               {ResultCode::RequestTooLarge,
                "the body is longer than " + std::to_string(m_options.maxBodyBytes) + " bytes"});
        return 0;
    }
    exchange->m_announcedBytes = bodyBytes;
    if (m_options.budget != nullptr)
        m_options.budget->beginBody(budgetId(connection), BootClock::now());
    if (bodyBytes == 0)
        dispatch(exchange);
    return 0;
}

// Closes the connection after the reply, because the rest of the refused request may still arrive.
// What arrives until the reply is written is dropped. With a budget, the connection is also closed
// if the reply can't be written within a short time.
void HttpServer::refuse(HttpExchange &exchange, const Error &error)
{
    if (m_options.budget != nullptr)
        m_options.budget->beginRefusal(budgetId(exchange.m_connection), BootClock::now());
    HttpResponse response = m_options.refusal
        ? m_options.refusal(error)
        : HttpResponse{.status = resultInfo(error.code).httpStatus, .body = error.detail + "\n"};
    response.headers.push_back({"connection", "close"});
    if (error.code == ResultCode::Overloaded)
        response.headers.push_back({"retry-after", "1"});
    exchange.reply(std::move(response));
}

// Frees the body of a request that the budget has no memory for. It was not handed to the handler.
void HttpServer::refuseForMemory(lws *connection)
{
    const auto found = m_exchanges.find(connection);
    if (found == m_exchanges.end() || found->second->m_replied || found->second->m_dispatched)
        return;
    std::string().swap(found->second->m_request.body);
    refuse(*found->second, {ResultCode::Overloaded, "too much data of clients is held"});
}

void HttpServer::refuseAll(const std::vector<ClientBudget::Id> &ids)
{
    for (const ClientBudget::Id id : ids) {
        auto *connection = toConnection(id);
        if (HttpServer *server = serverOf(connection))
            server->refuseForMemory(connection);
    }
}

// Returns whether `bytes` more of the request's body are kept, and allocates memory for them.
bool HttpServer::acceptBody(HttpExchange &exchange, std::size_t bytes)
{
    std::string &body = exchange.m_request.body;
    const std::size_t received = body.size() + bytes;
    std::size_t capacity = body.capacity();
    if (received > capacity) {
        capacity = std::max({received, 2 * capacity, FirstBodyBytes});
        capacity = std::max(received, std::min(capacity, exchange.m_announcedBytes));
    }
    if (m_options.budget != nullptr) {
        lws *connection = exchange.m_connection;
        const ClientBudget::Decision decision = m_options.budget->growBody(
            budgetId(connection), received, capacity, BootClock::now());
        refuseAll(decision.refused);
        if (!decision.isAccepted) {
            refuseForMemory(connection);
            return false;
        }
    }
    body.reserve(capacity);
    return true;
}

void HttpServer::readHeaders(lws *connection, HttpRequest &request) const
{
    for (const std::string &name : m_options.keptHeaders) {
        std::string value = copyHeader(connection, name);
        if (!value.empty())
            request.headers.push_back({name, std::move(value)});
    }
}

int HttpServer::onBody(lws *connection, std::string_view data)
{
    const auto found = m_exchanges.find(connection);
    if (found == m_exchanges.end())
        return -1;
    if (found->second->m_replied)
        return 0; // the request was refused; the rest of its body is dropped
    HttpRequest &request = found->second->m_request;
    if (request.body.size() + data.size() > m_options.maxBodyBytes)
        return -1;
    const std::shared_ptr<HttpExchange> exchange = found->second;
    if (acceptBody(*exchange, data.size()))
        request.body.append(data);
    return 0;
}

int HttpServer::onBodyComplete(lws *connection)
{
    const auto found = m_exchanges.find(connection);
    if (found != m_exchanges.end())
        dispatch(std::shared_ptr<HttpExchange>(found->second));
    return 0;
}

void HttpServer::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->m_dispatched || exchange->m_replied)
        return;
    if (m_options.budget != nullptr) {
        lws *connection = exchange->m_connection;
        const std::string &body = exchange->request().body;
        const ClientBudget::Decision decision = m_options.budget->beginHandling(
            budgetId(connection), body.empty() ? 0 : body.capacity(), BootClock::now());
        refuseAll(decision.refused);
        if (!decision.isAccepted) {
            refuseForMemory(connection);
            return;
        }
        // The rest of pipelined requests stays in the socket. libwebsockets would otherwise read
        // and buffer it without a bound while this request is open.
        lws_rx_flow_control(connection, 0);
        exchange->m_isReadPaused = true;
    }
    exchange->m_dispatched = true;
    lws_set_timeout(exchange->m_connection, NO_PENDING_TIMEOUT, 0);
    m_handler(exchange);
}

void HttpServer::stopListening()
{
    m_isListenerClosing = true;
    closeListener();
}

// Closing the socket would reset the connections that wait to be accepted, so it is postponed to an
// iteration of the loop that finds none.
void HttpServer::closeListener()
{
    if (m_listener == nullptr)
        return;
    pollfd waiting{.fd = lws_get_socket_fd(m_listener), .events = POLLIN, .revents = 0};
    if (poll(&waiting, 1, 0) != 0)
        m_listenerTimer.startAt(BootClock::now());
    else
        lws_set_timeout(m_listener, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_SYNC);
}

bool HttpServer::takeActivity()
{
    const bool isListenerOpen = m_isListenerClosing && m_listener != nullptr;
    return std::exchange(m_wasActive, false) || isListenerOpen || !m_exchanges.empty()
        || !m_flushingConnections.empty();
}

int HttpServer::onWriteable(lws *connection)
{
    if (m_flushingConnections.contains(connection))
        return closeAfterFlush(connection);
    const auto found = m_exchanges.find(connection);
    if (found == m_exchanges.end() || !found->second->m_replied)
        return 0;
    const std::shared_ptr<HttpExchange> exchange = found->second;
    m_exchanges.erase(found);
    m_wasActive = true;
    exchange->m_connection = nullptr;
    HttpResponse &response = exchange->m_response;
    const bool isCloseRequested = hasConnectionClose(response);
    if (m_closesAfterReplies && !isCloseRequested)
        response.headers.push_back({"connection", "close"});
    if (writeResponse(connection, response) != 0)
        return -1;
    completeResponse(connection, response.body.size());
    if (m_closesAfterReplies || isCloseRequested)
        return closeAfterFlush(connection);
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

// libwebsockets reads no further request while part of the answer is not sent.
void HttpServer::completeResponse(lws *connection, std::size_t responseBytes)
{
    if (m_options.budget == nullptr)
        return;
    if (lws_partial_buffered(connection) != 0) {
        m_unsentConnections.insert(connection);
        refuseAll(
            m_options.budget->beginAnswer(budgetId(connection), responseBytes, BootClock::now()));
        return;
    }
    m_options.budget->endRequest(budgetId(connection));
}

void HttpServer::check()
{
    const TimePoint now = BootClock::now();
    m_checkTimer.startAt(now + CheckInterval);
    std::erase_if(m_unsentConnections, [this](lws *connection) {
        if (lws_partial_buffered(connection) != 0)
            return false;
        if (!m_flushingConnections.contains(connection))
            m_options.budget->endRequest(budgetId(connection));
        return true;
    });
    const auto close = [](lws *connection) {
        lws_set_timeout(connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    };
    for (const ClientBudget::Overdue &overdue : m_options.budget->takeOverdue(now))
        close(toConnection(overdue.id));
    // A connection that isn't read doesn't report that the client has closed it.
    for (const auto &[connection, exchange] : m_exchanges) {
        if (exchange->m_dispatched && isClosedByPeer(lws_get_socket_fd(connection)))
            close(connection);
    }
}

// Writes the headers and the body in one write.
int HttpServer::writeResponse(lws *connection, const HttpResponse &response)
{
    m_buffer.resize(LWS_PRE + MaxHeaderBytes + response.body.size());
    unsigned char *start = m_buffer.data() + LWS_PRE;
    unsigned char *position = start;
    unsigned char *end = start + MaxHeaderBytes;
    if (lws_add_http_header_status(connection, unsigned(response.status), &position, end) != 0)
        return -1;
    for (const HttpHeader &header : response.headers) {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(
                connection, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                int(header.value.size()), &position, end)
            != 0) {
            return -1;
        }
    }
    if (lws_add_http_header_content_length(connection, response.body.size(), &position, end) != 0
        || lws_finalize_http_header(connection, &position, end) != 0) {
        return -1;
    }
    std::copy(response.body.begin(), response.body.end(), position);
    const auto total = std::size_t(position - start) + response.body.size();
    return lws_write(connection, start, total, LWS_WRITE_HTTP_FINAL) < 0 ? -1 : 0;
}

// libwebsockets buffers output that the kernel did not accept at once. Closing the connection
// before the next writeable event would lose it.
int HttpServer::closeAfterFlush(lws *connection)
{
    if (lws_partial_buffered(connection) == 0) {
        m_flushingConnections.erase(connection);
        return -1;
    }
    m_flushingConnections.insert(connection);
    lws_callback_on_writable(connection);
    return 0;
}

void HttpServer::onClosed(lws *connection)
{
    m_flushingConnections.erase(connection);
    const auto found = m_exchanges.find(connection);
    if (found == m_exchanges.end())
        return;
    const std::shared_ptr<HttpExchange> exchange = found->second;
    m_exchanges.erase(found);
    exchange->m_connection = nullptr;
    if (exchange->m_closedHook && !exchange->m_replied)
        exchange->m_closedHook();
}

} // namespace sequoiapier
