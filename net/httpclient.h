// HttpClient: HTTP/1.1 calls from the loop, over libwebsockets.
//
//   client.call({.address = "127.0.0.1", .port = 9000, .request = {...}, .deadline = deadline},
//               [](HttpAnswer answer) { ... });
//
// Each call has a connection of its own while it runs. Idle connections are kept per endpoint for
// idleSeconds, or as long as they may serve a call that needs a proved one; one vhost ("lane") of
// libwebsockets stands for each, because the library would otherwise queue calls to one endpoint
// behind each other. The callback is called exactly once, by the deadline. NotSent is reported only
// if no byte can have left. An answer is whole only by its content-length or its last chunk; one
// that ends with its connection alone is Lost. Bytes that arrived on an idle connection belong to
// no call: the next one is sent on a fresh connection.
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
        std::vector<std::string> keptHeaders; // of responses, lower case; others are dropped
    };

    HttpClient(Loop &loop, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void call(HttpCall call, HttpCallback callback);
    std::size_t activeCount() const { return m_activeCount; }
    // Vhosts that stand for connections, running, idle and free ones.
    std::size_t laneCount() const { return m_lanes.size(); }

    // libwebsockets' callback; `reason` is an lws_callback_reasons.
    static int handleEvent(lws *connection, int reason, void *user, void *in, std::size_t length);

    struct Lane;
    struct Transaction;

private:
    Lane *takeLane(const std::string &endpoint, ConnectionUse use);
    Lane *takeIdleLane(const std::string &endpoint, ConnectionUse use);
    void freeClosedLanes(std::deque<Lane *> &idle);
    void freeEndedLanes(std::deque<Lane *> &idle);
    std::uint16_t idleSeconds(ConnectionUse use) const;
    void finish(Transaction &transaction, HttpOutcome outcome, bool timedOut);
    int writeHead(Transaction &transaction, unsigned char **position, unsigned char *end);
    int writeBody(Transaction &transaction);
    void readHeaders(Transaction &transaction) const;
    bool isWholeAnswer(const Transaction &transaction) const;

    Loop &m_loop;
    Options m_options;
    std::vector<std::unique_ptr<Lane>> m_lanes;
    std::unordered_map<std::string, std::deque<Lane *>> m_idleLanes; // by endpoint, oldest first
    std::deque<Lane *> m_freeLanes; // freed last at the end
    std::size_t m_activeCount = 0;
    std::vector<unsigned char> m_buffer;
    char **m_parsePosition = nullptr; // in received bytes, while libwebsockets parses them
};

} // namespace sequoiapier
