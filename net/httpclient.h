// HttpClient: HTTP/1.1 calls from the loop, over libwebsockets.
//
//   client.call({.address = "127.0.0.1", .port = 9000, .request = {...}, .deadline = deadline},
//               [](HttpAnswer answer) { ... });
//
// Each running call has a connection to itself. Idle connections are kept per endpoint for
// idleSeconds; one last used by a ReuseProved call is kept only for as long as it can serve another
// such call. Each connection has a slot with a libwebsockets vhost of its own, because the library
// would otherwise queue calls to one endpoint behind each other.
//
// The callback is called exactly once, by the deadline. NotSent is reported only if no byte can
// have left the process. A response is complete only by its content-length or its last chunk; one
// that ends only because its connection closes is reported as Lost. Bytes that arrive on an idle
// connection belong to no call: a call that finds them is sent on a new connection instead.
#pragma once

#include "net/httpcall.h"
#include "net/loop.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct lws;

namespace sequoiapier {

class HttpClient
{
public:
    struct Options
    {
        std::size_t maxConnections = 1024;
        std::size_t maxResponseBytes = 4 * 1024 * 1024;
        std::uint16_t idleSeconds = 5;
        unsigned connectTimeoutSeconds = 2;
        std::vector<std::string> keptHeaders; // response headers to keep, in lower case
    };

    HttpClient(Loop &loop, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void call(HttpCall call, HttpCallback callback);
    std::size_t activeCount() const { return m_activeCount; }
    // Number of slots that are running a call, hold an idle connection or are free.
    std::size_t slotCount() const { return m_slots.size(); }

    // Callback of libwebsockets. `reason` is an lws_callback_reasons.
    static int handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length);

    struct Slot;
    struct Transaction;

private:
    bool shouldAddSlot();
    Slot *acquireSlot(const std::string &endpoint, ConnectionUse use);
    Slot *acquireIdleSlot(const std::string &endpoint, ConnectionUse use);
    void releaseClosedSlots(std::deque<Slot *> &idle);
    void releaseStaleSlots(std::deque<Slot *> &idle);
    std::uint16_t idleSeconds(ConnectionUse use) const;
    void finish(Transaction &transaction, HttpOutcome outcome, bool timedOut);
    int writeHeaders(Transaction &transaction, unsigned char **position, unsigned char *end);
    int writeBody(Transaction &transaction);
    void readHeaders(Transaction &transaction) const;
    bool isResponseComplete(const Transaction &transaction) const;

    Loop &m_loop;
    Options m_options;
    std::vector<std::unique_ptr<Slot>> m_slots;
    // Idle slots by endpoint, oldest first.
    std::unordered_map<std::string, std::deque<Slot *>> m_idleSlots;
    std::deque<Slot *> m_freeSlots; // free slots in order of release
    std::size_t m_mostInUse = 0; // most slots with a call or an idle connection
    std::size_t m_activeCount = 0;
    std::vector<unsigned char> m_buffer;
    char **m_parsePosition = nullptr; // libwebsockets' read position while it parses, else null
};

} // namespace sequoiapier
