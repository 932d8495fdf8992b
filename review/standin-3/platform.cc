#include "platform.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace sim {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += std::size_t(n);
    }
    return true;
}

} // namespace

Link::Link(int targetPort)
    : m_target(targetPort)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(m_listener, 256);
    socklen_t size = sizeof address;
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this] { acceptLoop(); }).detach();
}

Link::~Link()
{
    shutdown(m_listener, SHUT_RDWR);
}

void Link::acceptLoop()
{
    for (;;) {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            return;
        std::thread([this, client] { serve(client); }).detach();
    }
}

bool Link::waitWhileCut(int client) const
{
    while (m_isCut) {
        pollfd waiting{.fd = client, .events = 0, .revents = 0};
        poll(&waiting, 1, 20);
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(client, SOL_SOCKET, SO_ERROR, &error, &size);
        if ((waiting.revents & POLLERR) != 0 || error != 0)
            return false;
        if ((waiting.revents & POLLHUP) != 0)
            sleepMs(20);
    }
    return true;
}

void Link::serve(int client)
{
    const bool isNew = m_isCut;
    if (isNew) {
        const bool isKept = waitWhileCut(client);
        pollfd waiting{.fd = client, .events = POLLRDHUP, .revents = 0};
        poll(&waiting, 1, 0);
        if (!isKept || waiting.revents != 0) { // The opener has given up.
            close(client);
            return;
        }
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(m_target);
    if (connect(server, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(client);
        close(server);
        return;
    }
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread back([this, client, server] {
        char chunk[16'384];
        for (;;) {
            const ssize_t n = recv(server, chunk, sizeof chunk, 0);
            while (m_isCut)
                sleepMs(5);
            if (n <= 0 || !sendAll(client, std::string(chunk, std::size_t(n))))
                break;
        }
        shutdown(client, SHUT_WR);
    });
    char chunk[16'384];
    for (;;) {
        const ssize_t n = recv(client, chunk, sizeof chunk, 0);
        if (n < 0)
            break; // Reset: what was held is lost.
        const std::string bytes(chunk, std::size_t(n));
        if (onBytes && n > 0)
            onBytes(bytes);
        if (!waitWhileCut(client) || n == 0 || !sendAll(server, bytes))
            break;
    }
    shutdown(server, SHUT_RDWR);
    back.join();
    close(client);
    close(server);
}

Cloud::Cloud(World &world)
    : m_world(world)
    , m_server([this](const Request &request) { return handle(request); })
{
    m_server.start();
}

void Cloud::startRunner(const std::string &name, Machine &machine)
{
    machine.runner = &m_world.addRunner({.id = "i-" + name + "-" + std::to_string(machine.lives),
                                         .service = machine.pool,
                                         .machine = name});
}

void Cloud::addMachine(const std::string &name, const std::string &pool)
{
    const std::lock_guard lock(m_mutex);
    Machine &machine = m_machines[name];
    machine.pool = pool;
    startRunner(name, machine);
}

Response Cloud::handle(const Request &request)
{
    if (request.path == "/v1/machines") {
        const std::lock_guard lock(m_mutex);
        json machines = json::array();
        for (const auto &[name, machine] : m_machines) {
            machines.push_back({{"machine", name},
                                {"pool", machine.pool},
                                {"state", machine.state},
                                {"zone", "zone-a"},
                                {"labels", {"a", "r1"}},
                                {"capacity", {{"cpu", 8'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                                {"id", machine.runner->id()}});
        }
        return {200, json{{"machines", machines}, {"next_token", nullptr}}.dump()};
    }
    const json body = json::parse(request.body);
    const std::string holder = request.headers.at("lease-holder");
    const std::uint64_t token = std::stoull(request.headers.at("fencing-token"));
    const std::lock_guard lock(m_mutex);
    m_orders.push_back({body["machine"], holder, token});
    Response response{409, R"({"reason":"busy"})"};
    if (request.path == "/v1/machine-upkeep")
        response = upkeep(body);
    record("cloud: " + request.path + " " + request.body + " of " + holder + ", token "
           + std::to_string(token) + " -> " + std::to_string(response.status));
    return response;
}

Response Cloud::upkeep(const json &body)
{
    const auto found = m_machines.find(body["machine"].get<std::string>());
    if (found == m_machines.end())
        return {400, "{}"};
    Machine &machine = found->second;
    const auto wave = body["wave"].get<std::uint64_t>();
    if (machine.wavesDone.contains(wave))
        return {200, "{}"};
    if (machine.state != "up")
        return {409, R"({"reason":"busy"})"};
    machine.wavesDone.insert(wave);
    machine.state = "upkeep";
    std::thread([this, name = found->first] {
        Runner *runner = nullptr;
        {
            const std::lock_guard lock(m_mutex);
            runner = m_machines[name].runner;
        }
        runner->crash();
        m_world.store().removeRow("servers", runner->id());
        sleepMs(2'000);
        const std::lock_guard lock(m_mutex);
        Machine &back = m_machines[name];
        ++back.lives;
        startRunner(name, back);
        back.state = "up";
    }).detach();
    return {200, "{}"};
}

std::string Cloud::findConflict()
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_orders.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const Order &first = m_orders[j];
            const Order &second = m_orders[i];
            if (first.machine != second.machine)
                continue;
            const std::string both = "machine " + first.machine + ": an order of " + second.holder
                + " with token " + std::to_string(second.token) + " after one of " + first.holder
                + " with token " + std::to_string(first.token);
            if (second.token < first.token
                || (second.token == first.token && second.holder != first.holder))
                return both;
        }
    }
    return {};
}

} // namespace sim
