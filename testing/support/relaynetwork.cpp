// A single poll() waits on all sockets. Its timeout bounds the delay until changes by other threads
// take effect.
#include "testing/support/relaynetwork.h"

#include "testing/support/relayedconnection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <thread>

namespace sequoiapier {

namespace {

constexpr int PollMilliseconds = 5;
constexpr int Backlog = 256;

int listenOn(std::uint16_t port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(listener, Backlog) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

std::uint16_t portOf(int listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

struct RelayNetwork::Link
{
    std::string caller;
    std::string called;
    std::uint16_t port = 0; // the relay's own port
    std::uint16_t calledPort = 0;
    int listener = -1; // -1 while cut
    std::vector<std::unique_ptr<RelayedConnection>> connections;
    std::vector<PortRewrite> rewrites;
    std::vector<RelayedRequest> requests;

    bool isBetween(const std::string &process, const std::string &peer) const
    {
        const auto matches = [](const std::string &pattern, const std::string &name) {
            return pattern.empty() || pattern == name;
        };
        return (matches(process, caller) && matches(peer, called))
            || (matches(peer, caller) && matches(process, called));
    }

    void setCut(bool isCut)
    {
        if (isCut && listener >= 0) {
            close(listener);
            listener = -1;
            for (const auto &connection : connections)
                connection->silence();
        } else if (!isCut && listener < 0) {
            listener = listenOn(port);
        }
    }

    void accept()
    {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        auto connection = std::make_unique<RelayedConnection>(socket, calledPort);
        if (connection->sockets()[1] >= 0)
            connections.push_back(std::move(connection));
    }
};

struct RelayNetwork::Impl
{
    std::mutex mutex;
    std::vector<std::unique_ptr<Link>> links;
    bool isStopped = false;
    std::thread thread;

    std::vector<pollfd> descriptors()
    {
        std::vector<pollfd> all;
        for (const auto &link : links) {
            if (link->listener >= 0)
                all.push_back({link->listener, POLLIN, 0});
            for (const auto &connection : link->connections) {
                for (const int socket : connection->sockets())
                    all.push_back({socket, POLLIN, 0});
            }
        }
        return all;
    }

    static void serve(Link &link, const std::vector<int> &ready)
    {
        const auto isReady = [&](int descriptor) {
            return std::binary_search(ready.begin(), ready.end(), descriptor);
        };
        std::erase_if(link.connections, [&](const auto &connection) {
            const auto &sockets = connection->sockets();
            return std::any_of(sockets.begin(), sockets.end(), [&](int socket) {
                return socket >= 0 && isReady(socket)
                    && !connection->relay(socket, link.rewrites, link.requests);
            });
        });
        if (link.listener >= 0 && isReady(link.listener))
            link.accept();
    }

    bool pollOnce()
    {
        std::unique_lock lock(mutex);
        std::vector<pollfd> all = descriptors();
        lock.unlock();
        poll(all.data(), all.size(), PollMilliseconds);
        lock.lock();
        std::vector<int> ready;
        for (const pollfd &descriptor : all) {
            if (descriptor.revents != 0)
                ready.push_back(descriptor.fd);
        }
        std::sort(ready.begin(), ready.end());
        for (const auto &link : links)
            serve(*link, ready);
        return !isStopped;
    }
};

RelayNetwork::RelayNetwork()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->thread = std::thread([this] {
        while (m_impl->pollOnce()) { }
    });
}

RelayNetwork::~RelayNetwork()
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->isStopped = true;
    }
    m_impl->thread.join();
    for (const auto &link : m_impl->links) {
        if (link->listener >= 0)
            close(link->listener);
    }
}

std::uint16_t RelayNetwork::add(const std::string &caller, const std::string &called,
                                std::uint16_t port)
{
    auto link = std::make_unique<Link>();
    link->caller = caller;
    link->called = called;
    link->calledPort = port;
    link->listener = listenOn(0);
    if (link->listener < 0)
        return 0;
    link->port = portOf(link->listener);
    const std::lock_guard lock(m_impl->mutex);
    m_impl->links.push_back(std::move(link));
    return m_impl->links.back()->port;
}

void RelayNetwork::rewritePort(const std::string &caller, const std::string &called,
                               std::uint16_t from, std::uint16_t to)
{
    const auto portField = [](std::uint16_t port) { return "\"port\":" + std::to_string(port); };
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &link : m_impl->links) {
        if (link->caller == caller && link->called == called)
            link->rewrites.push_back({portField(from), portField(to)});
    }
}

void RelayNetwork::cut(const std::string &process, const std::string &peer, bool isCut)
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &link : m_impl->links) {
        if (link->isBetween(process, peer))
            link->setCut(isCut);
    }
}

std::size_t RelayNetwork::silence(const std::string &caller, const std::string &called)
{
    const std::lock_guard lock(m_impl->mutex);
    std::size_t count = 0;
    for (const auto &link : m_impl->links) {
        if (link->caller != caller || link->called != called)
            continue;
        for (const auto &connection : link->connections) {
            connection->silence();
            ++count;
        }
    }
    return count;
}

std::vector<RelayedRequest> RelayNetwork::requests(const std::string &caller,
                                                   const std::string &called) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<RelayedRequest> all;
    for (const auto &link : m_impl->links) {
        if (link->caller == caller && link->called == called)
            all.insert(all.end(), link->requests.begin(), link->requests.end());
    }
    return all;
}

} // namespace sequoiapier
