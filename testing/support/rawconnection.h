// RawConnection: a blocking TCP connection to loopback, for bytes that no HTTP client would send.
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
    // Reads until the received bytes contain `mark`, the other end closes or `patience` is over.
    std::string receiveUntil(std::string_view mark, std::chrono::milliseconds patience) const;
    // Whether the other end closes within `patience`; received bytes are dropped.
    bool waitClosed(std::chrono::milliseconds patience) const;

private:
    // Number of bytes read into `buffer`, 0 if closed, -1 if `deadline` passed.
    static constexpr std::size_t BufferBytes = 4096;
    long receive(char *buffer, std::chrono::steady_clock::time_point deadline) const;

    int m_socket;
};

} // namespace sequoiapier
