// A transaction is tied to its lws by the opaque user data and is untied when it finishes, so that
// nothing that arrives later on the connection can reach another caller.
#include "net/httpclient.h"

#include "net/connectionhealth.h"
#include "net/deferredfrees.h"
#include "net/headercopy.h"
#include "net/timer.h"

#include <libwebsockets.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration CloseMargin = std::chrono::seconds(1);
// A connection that was used for a proved call is proved for ConnectionHealth::ProofTime and of no
// use to such calls after it. The loop looks at every open connection in each turn.
constexpr std::uint16_t ProvedIdleSeconds
    = std::chrono::ceil<std::chrono::seconds>(ConnectionHealth::ProofTime + CloseMargin).count();
constexpr std::size_t ReadChunkBytes = 16 * 1024;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

// Whether nothing has arrived on the socket, neither bytes nor an end. The loop may not have seen
// what has.
bool isQuiet(int descriptor)
{
    char byte = 0;
    const ssize_t received = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

int clientCallback(lws *connection, lws_callback_reasons reason, void *user, void *in,
                   std::size_t length)
{
    return HttpClient::handleEvent(connection, reason, user, in, length);
}

const std::array<lws_protocols, 2> Protocols{{
    {"http", clientCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

struct HttpClient::Lane
{
    lws_vhost *vhost = nullptr;
    std::string endpoint; // that its idle connection, if any, leads to
    bool isReusable = false; // its connection may serve another call
    bool isIdle = false; // an idle connection is kept in it
    int idleDescriptor = -1; // of the idle connection; may be closed, or another's, since
    std::optional<ConnectionHealth> health; // of the idle connection
    TimePoint closedAt{}; // when its last connection has been closed for certain
    std::unique_ptr<Transaction> transaction;
};

struct HttpClient::Transaction
{
    Transaction(HttpClient &owner, Lane &lane, HttpCall call, HttpCallback callback)
        : client(owner)
        , lane(lane)
        , call(std::move(call))
        , callback(std::move(callback))
        , timer(owner.m_loop, [this] { onDeadline(); })
    { }

    void onDeadline()
    {
        client.finish(*this, sent ? HttpOutcome::Lost : HttpOutcome::NotSent, true);
    }

    HttpClient &client;
    Lane &lane;
    HttpCall call;
    HttpCallback callback;
    Timer timer;
    lws *connection = nullptr;
    bool sent = false;
    bool finished = false;
    bool isReused = false; // its connection was idle
    bool isConnectionUnfit = false; // it held an answer that nobody waits for
    HttpResponse response{.status = 0};
    std::string contentLength; // of the response; empty without one
    bool isForAnother = false; // the response echoes another request's header
};

HttpClient::HttpClient(Loop &loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_buffer(LWS_PRE + ReadChunkBytes)
{ }

HttpClient::~HttpClient()
{
    for (const auto &lane : m_lanes) {
        if (lane->transaction && lane->transaction->connection != nullptr)
            lws_set_opaque_user_data(lane->transaction->connection, nullptr);
    }
}

// The lane used last, which is the one most likely to be proved alive.
HttpClient::Lane *HttpClient::takeIdleLane(const std::string &endpoint, ConnectionUse use)
{
    const auto idle = m_idleLanes.find(endpoint);
    if (idle == m_idleLanes.end())
        return nullptr;
    freeClosedLanes(idle->second);
    if (use == ConnectionUse::Fresh || idle->second.empty())
        return nullptr;
    freeEndedLanes(idle->second);
    if (idle->second.empty())
        return nullptr;
    Lane *lane = idle->second.back();
    if (use == ConnectionUse::ReuseProved && !lane->health->isProvedAlive(BootClock::now()))
        return nullptr;
    idle->second.pop_back();
    return lane;
}

// One that the other end has closed is left to close by itself.
void HttpClient::freeEndedLanes(std::deque<Lane *> &idle)
{
    while (!idle.empty() && !isQuiet(idle.back()->idleDescriptor)) {
        Lane *ended = idle.back();
        idle.pop_back();
        ended->isIdle = false;
        ended->closedAt = BootClock::now() + CloseMargin;
        m_freeLanes.push_back(ended);
    }
}

// libwebsockets closes an idle connection after idleSeconds; its lane can then take any other.
void HttpClient::freeClosedLanes(std::deque<Lane *> &idle)
{
    const TimePoint now = BootClock::now();
    while (!idle.empty() && idle.front()->closedAt <= now) {
        idle.front()->isIdle = false;
        m_freeLanes.push_back(idle.front());
        idle.pop_front();
    }
}

HttpClient::Lane *HttpClient::takeLane(const std::string &endpoint, ConnectionUse use)
{
    if (Lane *idle = takeIdleLane(endpoint, use))
        return idle;
    if (!m_freeLanes.empty()) {
        Lane *lane = m_freeLanes.front(); // most likely closed
        m_freeLanes.pop_front();
        return lane;
    }
    if (m_lanes.size() >= m_options.maxConnections)
        return nullptr;
    auto lane = std::make_unique<Lane>();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = Protocols.data();
    info.user = this;
    info.vhost_name = "client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.connect_timeout_secs = m_options.connectTimeoutSeconds;
    lane->vhost = lws_create_vhost(m_loop.context(), &info);
    if (lane->vhost == nullptr)
        return nullptr;
    m_lanes.push_back(std::move(lane));
    return m_lanes.back().get();
}

std::uint16_t HttpClient::idleSeconds(ConnectionUse use) const
{
    return use == ConnectionUse::ReuseProved ? std::min(ProvedIdleSeconds, m_options.idleSeconds)
                                             : m_options.idleSeconds;
}

void HttpClient::call(HttpCall call, HttpCallback callback)
{
    const std::string endpoint = call.address + ":" + std::to_string(call.port);
    Lane *lane = takeLane(endpoint, call.connectionUse);
    if (lane == nullptr) {
        callback({.outcome = HttpOutcome::NotSent});
        return;
    }
    // A call must not be queued on a connection that is being closed.
    const bool hasClosing = !lane->isIdle && BootClock::now() < lane->closedAt;
    const bool reuse = call.connectionUse != ConnectionUse::Fresh && !hasClosing;
    lane->isReusable = reuse;
    lane->endpoint = endpoint;
    lane->transaction
        = std::make_unique<Transaction>(*this, *lane, std::move(call), std::move(callback));
    Transaction &transaction = *lane->transaction;
    transaction.isReused = std::exchange(lane->isIdle, false);
    ++m_activeCount;

    // The transaction may end while libwebsockets still reads these.
    const std::string address = transaction.call.address;
    const std::string path = transaction.call.request.path;
    const std::string method = transaction.call.request.method;
    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = lane->vhost;
    info.address = address.c_str();
    info.host = info.address; // idle connections are found by this name
    info.origin = info.address;
    info.port = transaction.call.port;
    info.path = path.c_str();
    info.method = method.c_str();
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT | (reuse ? LCCSCF_PIPELINE : 0);
    info.protocol = "http";
    info.opaque_user_data = &transaction;
    info.keep_warm_secs = idleSeconds(transaction.call.connectionUse);
    transaction.timer.startAt(transaction.call.deadline);
    // A connection that fails at once is reported through the callback, inside this call.
    // libwebsockets reads the freed state of one that was idle and fails while it is written to.
    const DeferredFrees frees;
    lws *connection = lws_client_connect_via_info(&info);
    if (lane->transaction.get() != &transaction)
        return;
    transaction.connection = connection;
    if (connection == nullptr)
        finish(transaction, HttpOutcome::NotSent, false);
}

void HttpClient::finish(Transaction &transaction, HttpOutcome outcome, bool timedOut)
{
    if (transaction.finished)
        return;
    transaction.finished = true;
    Lane &lane = transaction.lane;
    const std::unique_ptr<Transaction> owned = std::move(lane.transaction);
    owned->timer.cancel();
    --m_activeCount;
    const bool keep = outcome == HttpOutcome::Answered && lane.isReusable;
    if (owned->connection != nullptr) {
        lws_set_opaque_user_data(owned->connection, nullptr);
        if (!keep)
            lws_set_timeout(owned->connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    }
    const TimePoint now = BootClock::now();
    lane.health.emplace(now);
    const std::chrono::seconds idleTime(keep ? idleSeconds(owned->call.connectionUse) : 0);
    lane.closedAt = now + idleTime + CloseMargin;
    lane.isIdle = keep;
    lane.idleDescriptor = keep ? lws_get_socket_fd(owned->connection) : -1;
    if (keep)
        m_idleLanes[lane.endpoint].push_back(&lane);
    else
        m_freeLanes.push_back(&lane);
    if (owned->isConnectionUnfit && !timedOut) {
        owned->call.connectionUse = ConnectionUse::Fresh;
        call(std::move(owned->call), std::move(owned->callback));
        return;
    }
    owned->callback({outcome, timedOut, std::move(owned->response)});
}

int HttpClient::writeHead(Transaction &transaction, unsigned char **position, unsigned char *end)
{
    lws *connection = transaction.connection;
    if (transaction.isReused && !isQuiet(lws_get_socket_fd(connection))) {
        transaction.isConnectionUnfit = true;
        return -1;
    }
    if (transaction.call.maySend && !transaction.call.maySend())
        return -1;
    transaction.sent = true;
    const HttpRequest &request = transaction.call.request;
    for (const HttpHeader &header : request.headers) {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(
                connection, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                int(header.value.size()), position, end)
            != 0) {
            return -1;
        }
    }
    if (request.body.empty() && request.method == "GET")
        return 0;
    if (lws_add_http_header_content_length(connection, request.body.size(), position, end) != 0)
        return -1;
    if (!request.body.empty()) {
        lws_client_http_body_pending(connection, 1);
        lws_callback_on_writable(connection);
    }
    return 0;
}

void HttpClient::readHeaders(Transaction &transaction) const
{
    transaction.contentLength = copyHeader(transaction.connection, "content-length");
    const std::string &echoed = transaction.call.echoedHeader;
    if (!echoed.empty()) {
        const std::string value = copyHeader(transaction.connection, echoed);
        transaction.isForAnother
            = !value.empty() && value != headerValue(transaction.call.request.headers, echoed);
    }
    for (const std::string &name : m_options.keptHeaders) {
        std::string value = copyHeader(transaction.connection, name);
        if (!value.empty())
            transaction.response.headers.push_back({name, std::move(value)});
    }
}

// libwebsockets also reports completion when the other end closes within a body of unknown length.
// Only the last chunk completes such a body after parsing some of the received bytes. The library
// parses either bytes that it kept, which are then never none, or those that it reads to m_buffer.
bool HttpClient::isWholeAnswer(const Transaction &transaction) const
{
    const int status = transaction.response.status;
    if (transaction.isForAnother)
        return false;
    if (status == StatusNoContent || status == StatusNotModified)
        return true;
    if (!transaction.contentLength.empty())
        return transaction.contentLength == std::to_string(transaction.response.body.size());
    const char *received = reinterpret_cast<const char *>(m_buffer.data()) + LWS_PRE;
    return m_parsePosition != nullptr && *m_parsePosition != received;
}

int HttpClient::writeBody(Transaction &transaction)
{
    std::string &body = transaction.call.request.body;
    if (body.empty())
        return 0;
    m_buffer.resize(std::max(m_buffer.size(), LWS_PRE + body.size()));
    std::copy(body.begin(), body.end(), m_buffer.begin() + LWS_PRE);
    lws_client_http_body_pending(transaction.connection, 0);
    const int written = lws_write(transaction.connection, m_buffer.data() + LWS_PRE, body.size(),
                                  LWS_WRITE_HTTP_FINAL);
    body.clear();
    return written < 0 ? -1 : 0;
}

int HttpClient::handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    auto *transaction = static_cast<Transaction *>(lws_get_opaque_user_data(connection));
    if (transaction == nullptr) {
        // Nobody waits for what arrives here: an idle connection or one given up.
        if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP)
            return -1;
        return lws_callback_http_dummy(connection, lws_callback_reasons(reason), user, in, length);
    }
    HttpClient &client = transaction->client;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        transaction->connection = connection;
        auto **position = static_cast<unsigned char **>(in);
        return client.writeHead(*transaction, position, *position + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return client.writeBody(*transaction);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        transaction->response.status = int(lws_http_client_http_response(connection));
        client.readHeaders(*transaction);
        if (copyHeader(connection, "connection") == "close")
            transaction->lane.isReusable = false;
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        char *data = reinterpret_cast<char *>(client.m_buffer.data()) + LWS_PRE;
        int size = int(ReadChunkBytes);
        client.m_parsePosition = &data;
        const int result = lws_http_client_read(connection, &data, &size);
        client.m_parsePosition = nullptr;
        return result < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ: {
        std::string &body = transaction->response.body;
        if (body.size() + length > client.m_options.maxResponseBytes)
            return -1;
        body.append(static_cast<const char *>(in), length);
        return 0;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        client.finish(
            *transaction,
            client.isWholeAnswer(*transaction) ? HttpOutcome::Answered : HttpOutcome::Lost, false);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        // More of these may follow for the connection; the transaction ends here.
        lws_set_opaque_user_data(connection, nullptr);
        transaction->connection = nullptr;
        client.finish(*transaction, transaction->sent ? HttpOutcome::Lost : HttpOutcome::NotSent,
                      false);
        return 0;
    default:
        return lws_callback_http_dummy(connection, lws_callback_reasons(reason), user, in, length);
    }
}

} // namespace sequoiapier
