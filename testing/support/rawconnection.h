// RawConnection: a blocking TCP connection to loopback, to send bytes that no HTTP client would
// send.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool send(std::string_view bytes) const;
    // Reads until the received bytes contain `terminator`, the other end closes or `timeout` has
    // passed.
    std::string receiveUntil(std::string_view terminator, std::chrono::milliseconds timeout) const;
    // Whether the other end closes within `timeout`. Received bytes are discarded.
    bool waitClosed(std::chrono::milliseconds timeout) const;

private:
    // Returns the number of bytes read into `buffer`, 0 if closed, or -1 if `deadline` passed.
    static constexpr std::size_t BufferBytes = 4096;
    long receive(char *buffer, std::chrono::steady_clock::time_point deadline) const;

    int m_socket;
};

} // namespace sequoiapier
