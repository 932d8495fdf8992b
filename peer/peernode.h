// PeerNode: makes a process a member of the system. It keeps the process's row in the table,
// exchanges heartbeats and follows the configuration in force.
//
//   PeerNode node(daemon, {.role = "gateway", .table = endpoint}, {.apply = ...});
//   node.start();
//   if (!node.follower().isConfirmed(now)) ...
//
// A process registers under `members/<name>` with the next incarnation and scans that prefix every
// MemberScanInterval. In each pair of members the one with the lower name sends a heartbeat every
// HeartbeatInterval. Each heartbeat is also a configuration poll.
#pragma once

#include "cli/daemon.h"
#include "net/endpoint.h"
#include "net/rpcclient.h"
#include "net/rpcserver.h"
#include "peer/peerwire.h"
#include "platform/remotetable.h"
#include "sequoiapier/configurationfollower.h"
#include "sequoiapier/memberid.h"
#include "sequoiapier/membership.h"

#include <memory>

namespace sequoiapier {

// HTTP path at which every process serves PeerService on its admin port.
inline constexpr const char *PeerPath = "/peer";

class PeerNode
{
public:
    struct Options
    {
        std::string role; // "gateway", "scheduler" or "controller"
        Endpoint table;
    };

    struct Hooks
    {
        // Called with every configuration when it comes into force.
        std::function<void(const Configuration &)> apply;
        // Called when the process has registered and has an incarnation.
        std::function<void()> joined;
    };

    PeerNode(Daemon &daemon, Options options, Hooks hooks);

    void start() { registerSelf(); }

    bool hasJoined() const { return m_incarnation != 0; }
    MemberId self() const;
    Table &table() { return m_table; }
    ConfigurationFollower &follower() { return *m_follower; }
    Membership &membership() { return m_membership; }
    // Server of the path /peer, to which roles may add their own methods.
    RpcServer &rpcServer() { return m_rpcServer; }
    // Calls a method of PeerService at `endpoint` with this process as `args.sender`.
    template<typename Args, typename Reply>
    void call(const Endpoint &endpoint, std::string method, Args &args, TimePoint deadline,
              std::function<void(RpcAnswer<Reply>)> callback)
    {
        args.sender = sender();
        m_rpcClient.call<Args, Reply>(endpoint, PeerPath, std::move(method), args, deadline,
                                      std::move(callback));
    }
    api::PeerSender sender();
    // Returns the address at which `member` listens; nullopt if the member is unknown.
    std::optional<Endpoint> endpointOf(std::string_view member) const;
    // Records what a message tells about its sender: the sender's clock and that it is alive.
    void observe(const api::PeerSender &sender);

    // Sends a committed configuration to every gateway. `onTaken` is called for each gateway that
    // answers, with the highest version that it has seen.
    using TakenCallback
        = std::function<void(const std::string &gateway, std::uint64_t seenVersion)>;
    void push(const ConfigurationPush &push, const TakenCallback &onTaken);
    // Tells every other process which keys are about to be withdrawn.
    void announce(const std::vector<WithdrawalNotice> &notices);

private:
    void registerSelf();
    void onRegistered(const MemberRegistration &registration, const CommitAnswer &answer);
    void join(std::uint64_t incarnation);
    void scanMembers();
    void heartbeat();
    void tickFollower();
    void sendPoll(const MemberRow &peer, const ConfigurationPoll &poll);
    void addMethods();
    ConfigurationFollower::Hooks followerHooks();

    Daemon &m_daemon;
    Options m_options;
    Hooks m_hooks;
    RemoteTable m_remoteTable;
    Table m_table;
    RpcClient m_rpcClient;
    RpcServer m_rpcServer;
    Membership m_membership;
    std::unique_ptr<ConfigurationFollower> m_follower;
    std::uint64_t m_incarnation = 0;
    Timer m_registerTimer;
    Timer m_scanTimer;
    Timer m_heartbeatTimer;
    Timer m_followerTimer;
};

} // namespace sequoiapier
