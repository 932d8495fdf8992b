// RelayedConnection: one connection over a link of a RelayNetwork, with one socket to each end.
#pragma once

#include "testing/support/relaynetwork.h"

#include <array>
#include <span>
#include <string_view>

namespace sequoiapier {

// A replacement of a port number in the table rows that the caller reads. Both texts have the same
// length.
struct PortRewrite
{
    std::string from;
    std::string to;
};

class RelayedConnection
{
public:
    // Takes ownership of `callerSocket` and connects to `port` on loopback.
    RelayedConnection(int callerSocket, std::uint16_t port);
    ~RelayedConnection();
    RelayedConnection(const RelayedConnection &) = delete;
    RelayedConnection &operator=(const RelayedConnection &) = delete;

    // The sockets to the caller and to the called process; -1 once closed.
    const std::array<int, 2> &sockets() const { return m_sockets; }
    void silence() { m_isSilent = true; }
    // Forwards the bytes that `socket` has received; false once the connection has ended. Adds
    // request heads to `requests` and applies `rewrites` to the port numbers in bytes to the
    // caller.
    bool relay(int socket, std::span<const PortRewrite> rewrites,
               std::vector<RelayedRequest> &requests);

private:
    bool onClosed(int socket);
    void recordHeads(std::string_view bytes, std::vector<RelayedRequest> &requests);

    std::array<int, 2> m_sockets{-1, -1};
    bool m_isSilent = false;
    bool m_hasRequest = false;
    std::string m_head; // the caller's bytes of an incomplete request head
    std::chrono::steady_clock::time_point m_lastAliveAt;
};

} // namespace sequoiapier
