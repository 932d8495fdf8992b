#include "testing/support/relayedconnection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace sequoiapier {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view RequestMethod = "POST ";
constexpr std::string_view RequestIdHeader = "x-request-id:";

int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string requestIdOf(std::string_view head)
{
    const std::size_t name = head.find(RequestIdHeader);
    if (name == std::string_view::npos)
        return {};
    const std::size_t begin = head.find_first_not_of(' ', name + RequestIdHeader.size());
    return std::string(head.substr(begin, head.find('\r', begin) - begin));
}

} // namespace

RelayedConnection::RelayedConnection(int callerSocket, std::uint16_t port)
    : m_sockets{callerSocket, connectTo(port)}
    , m_lastAliveAt(Clock::now())
{
    for (const int descriptor : m_sockets)
        setNoDelay(descriptor);
}

RelayedConnection::~RelayedConnection()
{
    for (const int descriptor : m_sockets) {
        if (descriptor >= 0)
            close(descriptor);
    }
}

bool RelayedConnection::relay(int socket, std::span<const PortRewrite> rewrites,
                              std::vector<RelayedRequest> &requests)
{
    std::string bytes(ChunkBytes, '\0');
    const ssize_t size = recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && errno == EAGAIN)
        return true;
    if (size <= 0)
        return onClosed(socket);
    if (m_isSilent)
        return true;
    bytes.resize(std::size_t(size));
    const bool isCaller = socket == m_sockets[0];
    if (isCaller) {
        recordHeads(bytes, requests);
    } else {
        m_lastAliveAt = Clock::now();
        for (const PortRewrite &rewrite : rewrites) {
            for (auto at = bytes.find(rewrite.from); at != std::string::npos;
                 at = bytes.find(rewrite.from, at))
                bytes.replace(at, rewrite.from.size(), rewrite.to);
        }
    }
    const int target = isCaller ? m_sockets[1] : m_sockets[0];
    return send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == size;
}

// The other end of a silent connection is not told of the close.
bool RelayedConnection::onClosed(int socket)
{
    if (!m_isSilent)
        return false;
    int &closedSocket = socket == m_sockets[0] ? m_sockets[0] : m_sockets[1];
    close(closedSocket);
    closedSocket = -1;
    return m_sockets[0] >= 0 || m_sockets[1] >= 0;
}

// Bodies in these tests contain no blank line, so each blank line ends a request head.
void RelayedConnection::recordHeads(std::string_view bytes, std::vector<RelayedRequest> &requests)
{
    m_head += bytes;
    for (std::size_t end = m_head.find(HeadEnd); end != std::string::npos;
         end = m_head.find(HeadEnd)) {
        const std::string_view head = std::string_view(m_head).substr(0, end + HeadEnd.size());
        if (head.find(RequestMethod) != std::string_view::npos) {
            const auto idleTime = Clock::now() - m_lastAliveAt;
            requests.push_back({.requestId = requestIdOf(head),
                                .isFirst = !m_hasRequest,
                                .timeSinceLastAlive
                                = std::chrono::duration_cast<std::chrono::microseconds>(idleTime)});
            m_hasRequest = true;
        }
        m_head.erase(0, end + HeadEnd.size());
    }
}

} // namespace sequoiapier
