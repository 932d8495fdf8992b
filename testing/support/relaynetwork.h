// RelayNetwork: TCP relays on loopback that stand for the links between processes under test.
//
//   RelayNetwork network;
//   const std::uint16_t port = network.add("gateway-1", "table", tablePort);
//   network.cut("gateway-1", "", true);       // every link of gateway-1, in both directions
//   network.silence("gateways", "runner-1");  // open connections only; new ones work
//   network.requests("gateways", "runner-1"); // every request head that was relayed
//
// One thread of its own serves all links. A connection gone silent stays open at both ends and
// drops whatever either sends, until one of them closes. A cut link refuses connections, and those
// that were open are silent for good.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiapier {

// A request's head as it passed a relay.
struct RelayedRequest
{
    std::string requestId; // of the header x-request-id
    bool isFirst = false; // on its connection
    // Since the connection was accepted or the last byte of the called end passed.
    std::chrono::microseconds sinceProof{};
};

class RelayNetwork
{
public:
    RelayNetwork();
    ~RelayNetwork();
    RelayNetwork(const RelayNetwork &) = delete;
    RelayNetwork &operator=(const RelayNetwork &) = delete;

    // Adds the link on which `caller` reaches `called`; returns the port to call, 0 on failure.
    std::uint16_t add(const std::string &caller, const std::string &called, std::uint16_t port);

    // Has `caller` read `to` wherever a row that it gets from `called` names the port `from`, so
    // that it reaches a peer over a link of its own. Both have five digits.
    void rewritePort(const std::string &caller, const std::string &called, std::uint16_t from,
                     std::uint16_t to);

    // Cuts or mends every link between the two; an empty name stands for all others.
    void cut(const std::string &one, const std::string &other, bool isCut);
    // Makes the open connections of the link silent; returns how many.
    std::size_t silence(const std::string &caller, const std::string &called);
    std::vector<RelayedRequest> requests(const std::string &caller,
                                         const std::string &called) const;

private:
    struct Link;
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace sequoiapier
