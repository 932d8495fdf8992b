#include "testing/support/rawconnection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace sequoiapier {

RawConnection::RawConnection(std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(m_socket);
        m_socket = -1;
    }
}

RawConnection::~RawConnection()
{
    if (m_socket >= 0)
        close(m_socket);
}

bool RawConnection::send(std::string_view bytes) const
{
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size());
}

long RawConnection::receive(char *buffer, std::chrono::steady_clock::time_point deadline) const
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd descriptor{m_socket, POLLIN, 0};
    if (poll(&descriptor, 1, int(std::max<std::int64_t>(0, remaining.count()))) <= 0)
        return -1;
    return std::max<long>(0, recv(m_socket, buffer, BufferBytes, 0));
}

std::string RawConnection::receiveUntil(std::string_view terminator,
                                        std::chrono::milliseconds timeout) const
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string received;
    std::array<char, BufferBytes> buffer{};
    while (received.find(terminator) == std::string::npos) {
        const long count = receive(buffer.data(), deadline);
        if (count <= 0)
            break;
        received.append(buffer.data(), std::size_t(count));
    }
    return received;
}

bool RawConnection::waitClosed(std::chrono::milliseconds timeout) const
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::array<char, BufferBytes> buffer{};
    while (true) {
        const long count = receive(buffer.data(), deadline);
        if (count <= 0)
            return count == 0;
    }
}

} // namespace sequoiapier
