// ClientBudget: decides over the memory and the connections that clients may take of a process. It
// handles clients that send many large bodies at once and leave them incomplete, that send or read
// very slowly, and that open many connections. All servers of a process share one budget.
//
//   ClientBudget budget({.maxBytes = 40 * 1024 * 1024});
//   const int server = budget.addServer({.maxConnections = 1024});
//   if (!budget.admit(server, address, now).isAdmitted) ...       // close the connection
//   budget.addConnection(server, id, address, now);
//   budget.beginBody(id, now);
//   const ClientBudget::Decision decision = budget.growBody(id, received, held, now);
//   for (ClientBudget::Id victim : decision.refused) ...          // 503, then close
//   for (const ClientBudget::Overdue &late : budget.takeOverdue(now)) ...   // close
//
// The class does no I/O. Ids are chosen by the caller and are unique among all servers. Every call
// is O(1), except those over the budget and takeOverdue(), which are O(connections).
#pragma once

#include "sequoiapier/bootclock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiapier {

enum class ClientLimit : std::uint8_t {
    Memory,
    Connections,
    AddressConnections,
    HeaderTime,
    BodyRate,
    ReaderRate,
    JsonValues,
};

inline constexpr std::size_t ClientLimitCount = 7;

// Returns the value of the label `limit` of the metric and of the log line.
std::string_view clientLimitName(ClientLimit limit);

class ClientBudget
{
public:
    using Id = std::uint64_t;

    struct Options
    {
        std::size_t maxBytes = 64 * 1024 * 1024;
        std::size_t maxConnectionsPerAddress = 0; // 0 if unlimited
        Duration headerTime = std::chrono::seconds(10); // longest wait for the first request
        // A body and the reading of an answer must reach minBytesPerSecond after rateGrace.
        Duration rateGrace = std::chrono::seconds(10);
        std::size_t minBytesPerSecond = 1024;
    };

    struct ServerOptions
    {
        std::size_t maxConnections = 1024;
        // Whether a connection beyond maxConnections replaces the oldest one without a request,
        // so that clients that hold connections can't keep out the others.
        bool isOldestReplaced = false;
    };

    struct Admission
    {
        bool isAdmitted = true;
        std::optional<Id> replaced; // to be closed
    };

    struct Decision
    {
        bool isAccepted = true; // false if the caller's own request is to be refused
        std::vector<Id> refused; // other requests to be refused
    };

    struct Overdue
    {
        Id id;
        ClientLimit limit;
    };

    struct Notice
    {
        ClientLimit limit;
        std::uint64_t count; // cases since the last notice of the limit
    };

    // Memory that a connection takes in libwebsockets: 4 KiB for the bytes of its headers, about
    // 2 KiB for their index, and its own structures.
    static constexpr std::size_t ConnectionBytes = 8 * 1024;
    // A request that is being handled is held as its body, its parsed form and the messages made
    // of it. Its body therefore counts this many times.
    static constexpr std::size_t HandlingCopies = 4;
    // Longest wait until the answer to a refused request is written.
    static constexpr Duration RefusalTime = std::chrono::seconds(1);

    explicit ClientBudget(Options options);

    // Returns the number by which the server is named in admit() and addConnection().
    int addServer(ServerOptions options);

    Admission admit(int server, std::string_view address);
    // Counts a connection, whose first request is expected within the header time. Returns the
    // requests to be refused if its memory exceeds the budget.
    std::vector<Id> addConnection(int server, Id id, std::string address, TimePoint now);
    void removeConnection(Id id);

    // The headers of a request have been read and its body is awaited.
    void beginBody(Id id, TimePoint now);
    // `received` bytes of the body have arrived so far, for which `held` bytes are allocated.
    Decision growBody(Id id, std::size_t received, std::size_t held, TimePoint now);
    // The request is complete and is to be handled.
    Decision beginHandling(Id id, std::size_t held, TimePoint now);
    // The request is refused and its body has been freed.
    void beginRefusal(Id id, TimePoint now);
    // An answer of `bytes` has been written, but not all of it has been sent.
    std::vector<Id> beginAnswer(Id id, std::size_t bytes, TimePoint now);
    // Nothing of the request or of its answer is held.
    void endRequest(Id id);

    // Returns the connections to be closed at once, each once. If the process was paused, their
    // deadlines are extended by the pause, since data that arrived meanwhile has not been read.
    std::vector<Overdue> takeOverdue(TimePoint now);

    void count(ClientLimit limit) { ++m_totals[std::size_t(limit)]; }
    std::uint64_t total(ClientLimit limit) const { return m_totals[std::size_t(limit)]; }
    // Returns the limits that were met, each at most once a second.
    std::vector<Notice> takeNotices(TimePoint now);

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    enum class Phase : std::uint8_t {
        Headers,
        Body,
        Handling,
        Refusal,
        Answer,
        Idle,
    };

    struct Connection
    {
        int server = 0;
        std::string address;
        Phase phase = Phase::Headers;
        std::size_t heldBytes = 0; // without ConnectionBytes
        TimePoint openedAt;
        TimePoint startedAt; // of the body
        TimePoint deadline = TimePoint::max();
    };

    struct Server
    {
        ServerOptions options;
        std::size_t connectionCount = 0;
    };

    Connection *find(Id id);
    void setHeld(Connection &connection, std::size_t bytes);
    Duration transferTime(std::size_t bytes) const;
    std::vector<Id> makeRoom(TimePoint now);
    Decision decide(Id id, TimePoint now);

    Options m_options;
    std::vector<Server> m_servers;
    std::unordered_map<Id, Connection> m_connections;
    std::unordered_map<std::string, std::size_t> m_addresses; // number of connections of each
    std::size_t m_heldBytes = 0;
    std::optional<TimePoint> m_checkedAt;
    std::array<std::uint64_t, ClientLimitCount> m_totals{};
    std::array<std::uint64_t, ClientLimitCount> m_noticed{};
    std::array<TimePoint, ClientLimitCount> m_noticedAt{};
};

} // namespace sequoiapier
