// RelayedConnection: one connection of a RelayNetwork's link, a socket at either end.
#pragma once

#include "testing/support/relaynetwork.h"

#include <array>
#include <span>
#include <string_view>

namespace sequoiapier {

// What the caller gets to read in place of a port number in a row of the table. Both texts have the
// same length.
struct PortRewrite
{
    std::string from;
    std::string to;
};

class RelayedConnection
{
public:
    // Takes over `callerSocket` and connects to `port` on loopback.
    RelayedConnection(int callerSocket, std::uint16_t port);
    ~RelayedConnection();
    RelayedConnection(const RelayedConnection &) = delete;
    RelayedConnection &operator=(const RelayedConnection &) = delete;

    // The sockets of the caller and of the called end; -1 once closed.
    const std::array<int, 2> &sockets() const { return m_sockets; }
    void silence() { m_isSilent = true; }
    // Passes on what `socket` has received; false once the connection is over. Request heads are
    // added to `requests`, and port numbers in what the caller gets replaced by `rewrites`.
    bool relay(int socket, std::span<const PortRewrite> rewrites,
               std::vector<RelayedRequest> &requests);

private:
    bool onEnd(int socket);
    void recordHeads(std::string_view bytes, std::vector<RelayedRequest> &requests);

    std::array<int, 2> m_sockets{-1, -1};
    bool m_isSilent = false;
    bool m_hasRequest = false;
    std::string m_head; // bytes of the caller without a complete head yet
    std::chrono::steady_clock::time_point m_provedAt;
};

} // namespace sequoiapier
