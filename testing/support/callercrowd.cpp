#include "testing/support/callercrowd.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr const char *EstablishedState = "01"; // as /proc/net/tcp writes it

// Returns a socket that is connected or connecting, or -1.
int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isConnected
        = connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    if (isConnected || errno == EINPROGRESS)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace

CallerCrowd::CallerCrowd(Options options)
    : m_options(std::move(options))
{
    for (std::size_t i = 0; i < m_options.clients; ++i)
        m_clients.push_back({connectTo(m_options.port), m_options.head(i)});
}

CallerCrowd::~CallerCrowd()
{
    for (const Client &client : m_clients) {
        if (client.socket >= 0)
            close(client.socket);
    }
}

bool CallerCrowd::step()
{
    bool hasProgress = false;
    for (Client &client : m_clients) {
        if (client.socket >= 0 && send(client))
            hasProgress = true;
        if (client.socket >= 0 && receive(client))
            hasProgress = true;
    }
    return hasProgress;
}

bool CallerCrowd::send(Client &client)
{
    const std::string_view piece = nextPiece(client);
    if (piece.empty())
        return false;
    const ssize_t count = ::send(client.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0)
        return closeAfter(client, errno);
    client.sent += std::size_t(count);
    m_sentBytes += std::uint64_t(count);
    return true;
}

// A client that doesn't read peeks at one byte, to notice that its connection was closed.
bool CallerCrowd::receive(Client &client)
{
    std::array<char, 16 * 1024> buffer{};
    const bool isReading = m_options.readBytes > 0;
    const std::size_t wanted = std::clamp<std::size_t>(m_options.readBytes, 1, buffer.size());
    const ssize_t count = recv(client.socket, buffer.data(), wanted, isReading ? 0 : MSG_PEEK);
    if (count > 0)
        return isReading;
    return closeAfter(client, count < 0 ? errno : ECONNRESET);
}

// Returns whether the connection is closed because of the error.
bool CallerCrowd::closeAfter(Client &client, int error)
{
    if (error == EAGAIN || error == EINTR || error == ENOTCONN)
        return false;
    close(client.socket);
    client.socket = -1;
    return true;
}

std::string_view CallerCrowd::nextPiece(const Client &client) const
{
    if (client.sent < client.head.size())
        return std::string_view(client.head).substr(client.sent, m_options.pieceBytes);
    const std::size_t sent = client.sent - client.head.size();
    if (sent >= m_options.bodyBytes)
        return {};
    const std::string_view rest
        = std::string_view(m_options.body).substr(sent % m_options.body.size());
    return rest.substr(0, std::min(m_options.pieceBytes, m_options.bodyBytes - sent));
}

std::size_t CallerCrowd::openCount() const
{
    return std::size_t(std::count_if(m_clients.begin(), m_clients.end(),
                                     [](const Client &client) { return client.socket >= 0; }));
}

std::uint64_t unreadBytes(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::uint64_t total = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // bytes to send and bytes to read, in hexadecimal
        fields >> number >> local >> remote >> state >> queues;
        if (state == EstablishedState
            && std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port)
            total += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return total;
}

} // namespace sequoiapier
