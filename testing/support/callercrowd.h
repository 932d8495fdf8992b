// CallerCrowd: many non-blocking connections to one port on loopback that send the same kind of
// request, which may be incomplete, malformed or never end.
//
//   CallerCrowd crowd({.port = port, .clients = 200, .head = [](std::size_t) { return head; },
//                      .body = std::string(1024, 'b'), .bodyBytes = 100'000});
//   while (crowd.step()) { }
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class CallerCrowd
{
public:
    struct Options
    {
        std::uint16_t port = 0;
        std::size_t clients = 1;
        std::function<std::string(std::size_t client)> head; // sent first
        std::string body; // sent after the head, repeated up to `bodyBytes`
        std::size_t bodyBytes = 0;
        std::size_t pieceBytes = 64 * 1024; // largest number of bytes in one send
        std::size_t readBytes = 16 * 1024; // read at most at once; 0: answers are not read
    };

    explicit CallerCrowd(Options options);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    // Sends at most one piece on each connection and reads what has arrived. Returns whether a byte
    // was sent or received or a connection was closed.
    bool step();
    std::size_t openCount() const;
    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Client
    {
        int socket = -1;
        std::string head;
        std::size_t sent = 0;
    };

    bool send(Client &client);
    bool receive(Client &client);
    static bool closeAfter(Client &client, int error);
    std::string_view nextPiece(const Client &client) const;

    Options m_options;
    std::vector<Client> m_clients;
    std::uint64_t m_sentBytes = 0;
};

// Number of bytes that have arrived at connections of this local port and have not been read.
std::uint64_t unreadBytes(std::uint16_t port);

} // namespace sequoiapier
