// RelayNetwork: TCP relays on loopback that simulate the links between processes under test.
//
//   RelayNetwork network;
//   const std::uint16_t port = network.add("gateway-1", "table", tablePort);
//   network.cut("gateway-1", "", true);       // every link of gateway-1, in both directions
//   network.silence("gateways", "runner-1");  // open connections only; new ones work
//   network.requests("gateways", "runner-1"); // every request head that was relayed
//
// A single background thread serves all links. A silent connection stays open at both ends and
// drops all bytes from either end until one of them closes. A cut link refuses new connections and
// makes the open ones silent for good.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiapier {

// The head of a request that a relay forwarded.
struct RelayedRequest
{
    std::string requestId; // value of the header x-request-id
    bool isFirst = false; // whether it is the first request on its connection
    // Time since the connection was accepted or the called process last sent a byte.
    std::chrono::microseconds timeSinceLastAlive{};
};

class RelayNetwork
{
public:
    RelayNetwork();
    ~RelayNetwork();
    RelayNetwork(const RelayNetwork &) = delete;
    RelayNetwork &operator=(const RelayNetwork &) = delete;

    // Adds the link from `caller` to `called`; returns the port to call, or 0 on failure.
    std::uint16_t add(const std::string &caller, const std::string &called, std::uint16_t port);

    // Replaces the port `from` by `to` in all rows that `caller` gets from `called`, so that the
    // caller reaches a peer over a separate link. Both ports have five digits.
    void rewritePort(const std::string &caller, const std::string &called, std::uint16_t from,
                     std::uint16_t to);

    // Cuts or restores every link between the two; an empty name means all other processes.
    void cut(const std::string &process, const std::string &peer, bool isCut);
    // Makes the open connections of the link silent and returns their number.
    std::size_t silence(const std::string &caller, const std::string &called);
    std::vector<RelayedRequest> requests(const std::string &caller,
                                         const std::string &called) const;

private:
    struct Link;
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace sequoiapier
