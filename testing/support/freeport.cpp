#include "testing/support/freeport.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiapier {

namespace {

// The ports lie below the range from which the kernel takes ports for outgoing connections.
constexpr std::uint16_t FirstPort = 12'000;
constexpr std::uint16_t PortsPerProcess = 64;
constexpr int PortBlocks = 300;

bool isPortFree(std::uint16_t port)
{
    const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int reuse = 1;
    setsockopt(socketFd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const bool isFree = bind(socketFd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(socketFd);
    return isFree;
}

} // namespace

std::uint16_t freePort()
{
    static int nextOffset = 0;
    const int block = getpid() % PortBlocks;
    for (int attempt = 0; attempt < PortsPerProcess * 4; ++attempt) {
        const auto port
            = std::uint16_t(FirstPort + block * PortsPerProcess + nextOffset++ % PortsPerProcess);
        if (isPortFree(port))
            return port;
    }
    return 0;
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    if (count <= PortsPerProcess / 2) {
        while (ports.size() < count)
            ports.push_back(freePort());
        return ports;
    }
    // The own block is left to freePort(), which may return any of its ports next.
    const int block = getpid() % PortBlocks;
    for (int offset = PortsPerProcess;
         offset < PortBlocks * PortsPerProcess && ports.size() < count; ++offset) {
        const auto port = std::uint16_t(
            FirstPort + (block * PortsPerProcess + offset) % (PortBlocks * PortsPerProcess));
        if (isPortFree(port))
            ports.push_back(port);
    }
    return ports;
}

} // namespace sequoiapier
