// The opaque user data of an lws points to its transaction and is cleared when the transaction
// finishes, so that bytes which arrive later on the connection cannot reach another caller.
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
// Idle time of a connection last used by a ReuseProved call: it is proved alive for
// ConnectionHealth::ProofTime and cannot serve such calls after that. Idle connections are not kept
// longer than needed because the loop checks every open connection in each iteration.
constexpr std::uint16_t ProvedIdleSeconds
    = std::chrono::ceil<std::chrono::seconds>(ConnectionHealth::ProofTime + CloseMargin).count();
constexpr std::size_t ReadChunkBytes = 16 * 1024;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

// Whether neither bytes nor the end of the stream have arrived on the socket. This asks the socket
// itself, because the loop may not have handled them yet.
bool hasNoPendingInput(int descriptor)
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

struct HttpClient::Slot
{
    lws_vhost *vhost = nullptr;
    std::string endpoint; // remote endpoint of the last connection
    bool isReusable = false; // the connection may serve another call
    bool isIdle = false; // the slot holds an idle connection
    // Socket of the idle connection. It may have been closed since, and the number reused.
    int idleDescriptor = -1;
    std::optional<ConnectionHealth> health; // health of the idle connection
    TimePoint closedAt{}; // time by which the last connection is certain to be closed
    std::unique_ptr<Transaction> transaction;
};

struct HttpClient::Transaction
{
    Transaction(HttpClient &owner, Slot &slot, HttpCall call, HttpCallback callback)
        : client(owner)
        , slot(slot)
        , call(std::move(call))
        , callback(std::move(callback))
        , timer(owner.m_loop, [this] { onTimer(); })
    { }

    // Fires before the content timeout, so that only the call's own deadline ends it.
    void startTimer()
    {
        timer.startAt(
            std::min(call.deadline, BootClock::now() + client.m_loop.contentTimeout() / 2));
    }

    void onTimer()
    {
        if (BootClock::now() < call.deadline) {
            if (sent && connection != nullptr)
                lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
            startTimer();
            return;
        }
        client.finish(*this, sent ? HttpOutcome::Lost : HttpOutcome::NotSent, true);
    }

    HttpClient &client;
    Slot &slot;
    HttpCall call;
    HttpCallback callback;
    Timer timer;
    lws *connection = nullptr;
    bool sent = false;
    bool finished = false;
    bool isReused = false; // the connection was idle before this call
    bool isConnectionStale = false; // bytes or the end had arrived on the reused connection
    HttpResponse response{.status = 0};
    std::string contentLength; // content-length of the response; empty if it has none
    bool isEchoMismatch = false; // the response echoes the header of another request
};

HttpClient::HttpClient(Loop &loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_buffer(LWS_PRE + ReadChunkBytes)
{ }

HttpClient::~HttpClient()
{
    for (const auto &slot : m_slots) {
        if (slot->transaction && slot->transaction->connection != nullptr)
            lws_set_opaque_user_data(slot->transaction->connection, nullptr);
    }
}

// Returns the most recently used idle slot, which is the most likely to be proved alive.
HttpClient::Slot *HttpClient::acquireIdleSlot(const std::string &endpoint, ConnectionUse use)
{
    const auto idle = m_idleSlots.find(endpoint);
    if (idle == m_idleSlots.end())
        return nullptr;
    releaseClosedSlots(idle->second);
    if (use == ConnectionUse::Fresh || idle->second.empty())
        return nullptr;
    releaseStaleSlots(idle->second);
    if (idle->second.empty())
        return nullptr;
    Slot *slot = idle->second.back();
    if (use == ConnectionUse::ReuseProved && !slot->health->isProvedAlive(BootClock::now()))
        return nullptr;
    idle->second.pop_back();
    return slot;
}

// Releases the most recent idle slots whose connection was closed by the server or has unexpected
// input. libwebsockets closes such a connection by itself.
void HttpClient::releaseStaleSlots(std::deque<Slot *> &idle)
{
    while (!idle.empty() && !hasNoPendingInput(idle.back()->idleDescriptor)) {
        Slot *ended = idle.back();
        idle.pop_back();
        ended->isIdle = false;
        ended->closedAt = BootClock::now() + CloseMargin;
        m_freeSlots.push_back(ended);
    }
}

// Releases slots whose idle connection libwebsockets has closed after its idle time, so that they
// can be used for any endpoint.
void HttpClient::releaseClosedSlots(std::deque<Slot *> &idle)
{
    const TimePoint now = BootClock::now();
    while (!idle.empty() && idle.front()->closedAt <= now) {
        idle.front()->isIdle = false;
        m_freeSlots.push_back(idle.front());
        idle.pop_front();
    }
}

// A connection made in a slot whose last one may still be closing can't be kept. Where connections
// end all the time, some more slots than are in use keep the next connection from being one of
// them.
bool HttpClient::shouldAddSlot()
{
    m_mostInUse = std::max(m_mostInUse, m_slots.size() - m_freeSlots.size() + 1);
    const bool mayBeClosing = m_freeSlots.front()->closedAt > BootClock::now();
    return mayBeClosing && m_slots.size() < m_mostInUse + (m_mostInUse + 1) / 2;
}

HttpClient::Slot *HttpClient::acquireSlot(const std::string &endpoint, ConnectionUse use)
{
    if (Slot *idle = acquireIdleSlot(endpoint, use))
        return idle;
    const bool isAtBound = m_slots.size() >= m_options.maxConnections;
    if (!m_freeSlots.empty() && (isAtBound || !shouldAddSlot())) {
        Slot *slot = m_freeSlots.front(); // released first, so most likely closed
        m_freeSlots.pop_front();
        return slot;
    }
    if (isAtBound)
        return nullptr;
    auto slot = std::make_unique<Slot>();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = Protocols.data();
    info.user = this;
    info.vhost_name = "client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.connect_timeout_secs = m_options.connectTimeoutSeconds;
    slot->vhost = lws_create_vhost(m_loop.context(), &info);
    if (slot->vhost == nullptr)
        return nullptr;
    m_slots.push_back(std::move(slot));
    return m_slots.back().get();
}

std::uint16_t HttpClient::idleSeconds(ConnectionUse use) const
{
    return use == ConnectionUse::ReuseProved ? std::min(ProvedIdleSeconds, m_options.idleSeconds)
                                             : m_options.idleSeconds;
}

void HttpClient::call(HttpCall call, HttpCallback callback)
{
    const std::string endpoint = call.address + ":" + std::to_string(call.port);
    Slot *slot = acquireSlot(endpoint, call.connectionUse);
    if (slot == nullptr) {
        callback({.outcome = HttpOutcome::NotSent});
        return;
    }
    // libwebsockets must not queue the call on a connection that is being closed.
    const bool isPreviousClosing = !slot->isIdle && BootClock::now() < slot->closedAt;
    const bool reuse = call.connectionUse != ConnectionUse::Fresh && !isPreviousClosing;
    slot->isReusable = reuse;
    slot->endpoint = endpoint;
    slot->transaction
        = std::make_unique<Transaction>(*this, *slot, std::move(call), std::move(callback));
    Transaction &transaction = *slot->transaction;
    transaction.isReused = std::exchange(slot->isIdle, false);
    ++m_activeCount;

    // Copies, because the transaction may end while libwebsockets still reads them.
    const std::string address = transaction.call.address;
    const std::string path = transaction.call.request.path;
    const std::string method = transaction.call.request.method;
    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = slot->vhost;
    info.address = address.c_str();
    info.host = info.address; // libwebsockets finds idle connections by this name
    info.origin = info.address;
    info.port = transaction.call.port;
    info.path = path.c_str();
    info.method = method.c_str();
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT | (reuse ? LCCSCF_PIPELINE : 0);
    info.protocol = "http";
    info.opaque_user_data = &transaction;
    info.keep_warm_secs = idleSeconds(transaction.call.connectionUse);
    transaction.startTimer();
    // A connection that fails at once is reported through the callback during this call. If an idle
    // connection fails while it is written to, libwebsockets reads its state after freeing it.
    const DeferredFrees frees;
    lws *connection = lws_client_connect_via_info(&info);
    if (slot->transaction.get() != &transaction)
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
    Slot &slot = transaction.slot;
    const std::unique_ptr<Transaction> owned = std::move(slot.transaction);
    owned->timer.cancel();
    --m_activeCount;
    const bool keep = outcome == HttpOutcome::Answered && slot.isReusable;
    if (owned->connection != nullptr) {
        lws_set_opaque_user_data(owned->connection, nullptr);
        if (!keep)
            lws_set_timeout(owned->connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    }
    const TimePoint now = BootClock::now();
    slot.health.emplace(now);
    const std::chrono::seconds idleTime(keep ? idleSeconds(owned->call.connectionUse) : 0);
    slot.closedAt = now + idleTime + CloseMargin;
    slot.isIdle = keep;
    slot.idleDescriptor = keep ? lws_get_socket_fd(owned->connection) : -1;
    if (keep)
        m_idleSlots[slot.endpoint].push_back(&slot);
    else
        m_freeSlots.push_back(&slot);
    if (owned->isConnectionStale && !timedOut) {
        owned->call.connectionUse = ConnectionUse::Fresh;
        call(std::move(owned->call), std::move(owned->callback));
        return;
    }
    owned->callback({outcome, timedOut, std::move(owned->response)});
}

int HttpClient::writeHeaders(Transaction &transaction, unsigned char **position, unsigned char *end)
{
    lws *connection = transaction.connection;
    if (transaction.isReused && !hasNoPendingInput(lws_get_socket_fd(connection))) {
        transaction.isConnectionStale = true;
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
        transaction.isEchoMismatch
            = !value.empty() && value != headerValue(transaction.call.request.headers, echoed);
    }
    for (const std::string &name : m_options.keptHeaders) {
        std::string value = copyHeader(transaction.connection, name);
        if (!value.empty())
            transaction.response.headers.push_back({name, std::move(value)});
    }
}

// libwebsockets also reports completion when the server closes the connection within a body of
// unknown length. Only a last chunk completes such a body after some received bytes were parsed.
// The library parses either bytes that it had stored, of which there is then at least one, or bytes
// that it read into m_buffer. In both cases the parse position differs from the start of m_buffer.
bool HttpClient::isResponseComplete(const Transaction &transaction) const
{
    const int status = transaction.response.status;
    if (transaction.isEchoMismatch)
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
        // The connection is idle or its call has ended, so no call is waiting for this input.
        if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP)
            return -1;
        return lws_callback_http_dummy(connection, lws_callback_reasons(reason), user, in, length);
    }
    HttpClient &client = transaction->client;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        transaction->connection = connection;
        auto **position = static_cast<unsigned char **>(in);
        return client.writeHeaders(*transaction, position, *position + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return client.writeBody(*transaction);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        transaction->response.status = int(lws_http_client_http_response(connection));
        client.readHeaders(*transaction);
        if (copyHeader(connection, "connection") == "close")
            transaction->slot.isReusable = false;
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
        client.finish(*transaction,
                      client.isResponseComplete(*transaction) ? HttpOutcome::Answered
                                                              : HttpOutcome::Lost,
                      false);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        // Several of these events may follow for one connection; the first ends the transaction.
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
