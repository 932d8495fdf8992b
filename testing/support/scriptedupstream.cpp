#include "testing/support/scriptedupstream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <optional>
#include <utility>

namespace sequoiapier {

namespace {

constexpr int Backlog = 128;
constexpr int PollMilliseconds = 20;
constexpr std::size_t ChunkBytes = 4096;
constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find(name + ":");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = head.find_first_not_of(' ', at + name.size() + 1);
    return head.substr(begin, head.find('\r', begin) - begin);
}

// Removes the first complete request from `bytes` and returns it.
std::optional<UpstreamRequest> takeRequest(std::string &bytes)
{
    const std::size_t headSize = bytes.find(HeadEnd);
    if (headSize == std::string::npos)
        return std::nullopt;
    const std::string head = bytes.substr(0, headSize + HeadEnd.size());
    const std::size_t bodySize
        = std::strtoul(headerOf(head, "content-length").c_str(), nullptr, 10);
    if (bytes.size() < head.size() + bodySize)
        return std::nullopt;
    UpstreamRequest request{.id = headerOf(head, "x-request-id"),
                            .attemptId = headerOf(head, "x-attempt-id"),
                            .body = bytes.substr(head.size(), bodySize)};
    bytes.erase(0, head.size() + bodySize);
    return request;
}

bool waitReadable(int descriptor)
{
    pollfd pollEntry{descriptor, POLLIN, 0};
    return poll(&pollEntry, 1, PollMilliseconds) > 0;
}

} // namespace

std::string wholeAnswer(const std::string &body, const std::string &attemptId)
{
    std::string head = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n";
    if (!attemptId.empty())
        head += "x-attempt-id: " + attemptId + "\r\n";
    return head + "\r\n" + body;
}

ScriptedUpstream::ScriptedUpstream(Script script)
    : m_script(std::move(script))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(m_listener, Backlog) != 0) {
        return;
    }
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

ScriptedUpstream::~ScriptedUpstream()
{
    m_isStopped = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
    for (std::thread &thread : m_connections)
        thread.join();
    close(m_listener);
}

void ScriptedUpstream::accept()
{
    while (!m_isStopped) {
        if (!waitReadable(m_listener))
            continue;
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            m_connections.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void ScriptedUpstream::serve(int descriptor)
{
    std::string bytes;
    std::array<char, ChunkBytes> buffer{};
    while (!m_isStopped) {
        if (const auto request = takeRequest(bytes)) {
            if (!answer(descriptor, m_script(*request)))
                break;
            continue;
        }
        if (!waitReadable(descriptor))
            continue;
        const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        bytes.append(buffer.data(), std::size_t(size));
    }
    close(descriptor);
}

// Returns false if the connection has ended.
bool ScriptedUpstream::answer(int descriptor, const UpstreamScript &script)
{
    for (const UpstreamPart &part : script.parts) {
        std::this_thread::sleep_for(part.delay);
        if (send(descriptor, part.bytes.data(), part.bytes.size(), MSG_NOSIGNAL)
            != ssize_t(part.bytes.size())) {
            return false;
        }
    }
    ++m_answeredCount;
    if (script.resets) {
        const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    return !script.closes;
}

} // namespace sequoiapier
