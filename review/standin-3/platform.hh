// Stand-ins for what else lies between a node and the users' platform: links that can be cut, and
// the interface to machines.
#pragma once

#include "world.hh"

namespace sim {

// A link to a server, through a port of its own. While it is cut nothing passes, as in a partition:
// what was sent on an open connection arrives afterwards, unless its sender has reset the
// connection; a connection that is opened meanwhile is only made afterwards, if its opener still
// waits.
class Link
{
public:
    explicit Link(int targetPort);
    ~Link();
    int port() const { return m_port; }
    void setCut(bool isCut) { m_isCut = isCut; }
    // Called with the first bytes of each message to the server, before they are passed on.
    std::function<void(const std::string &bytes)> onBytes;

private:
    void acceptLoop();
    void serve(int client);
    // Waits while the link is cut; returns false if the sender has reset the connection.
    bool waitWhileCut(int client) const;

    int m_target;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_isCut{false};
};

// The platform's machines: each runs a runner of its pool and can be told to do its upkeep.
class Cloud
{
public:
    explicit Cloud(World &world);
    int port() const { return m_server.port(); }
    void addMachine(const std::string &name, const std::string &pool);
    // Returns a description of two orders for one machine of which the later one has a lower token
    // or two holders have one token; empty if there are none.
    std::string findConflict();

private:
    struct Machine
    {
        std::string pool;
        std::string state = "up";
        Runner *runner = nullptr;
        int lives = 1;
        std::set<std::uint64_t> wavesDone;
    };
    struct Order
    {
        std::string machine;
        std::string holder;
        std::uint64_t token = 0;
    };
    Response handle(const Request &request);
    Response upkeep(const json &body);
    void startRunner(const std::string &name, Machine &machine);

    World &m_world;
    std::mutex m_mutex;
    std::map<std::string, Machine> m_machines;
    std::vector<Order> m_orders;
    Server m_server;
};

} // namespace sim
