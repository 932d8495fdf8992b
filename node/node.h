// Node: the single role of a host on the users' platform. Every host serves callers and may own
// pools and the fleet.
//
//   Node node(daemon, settings, weights);
//   node.start();
//   return daemon.run();
//
// Ownership decides over the platform's store which pools a node owns. The owner of a pool keeps
// its jobs; every node passes callers' requests on to the owners.
#pragma once

#include "cli/daemon.h"
#include "net/rpcclient.h"
#include "net/rpcserver.h"
#include "net/servershutdown.h"
#include "node/advicecalls.h"
#include "node/carrierclient.h"
#include "node/clientlimits.h"
#include "node/fleetowner.h"
#include "node/ingress.h"
#include "node/jobrelay.h"
#include "node/operatorwatch.h"
#include "node/poolmetrics.h"
#include "node/poolowner.h"
#include "node/runnercarrier.h"
#include "node/runnerwatch.h"
#include "platform/fleetclient.h"
#include "platform/nodesettings.h"
#include "platform/runnerclient.h"
#include "platform/storeclient.h"
#include "platform/storetable.h"
#include "sequoiapier/ownership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiapier {

class Node
{
public:
    Node(Daemon &daemon, NodeSettings settings, const FleetWeights &weights,
         const ClientLimits &limits);
    ~Node();

    bool isListening() const { return m_callers.isListening() && m_readiness.isListening(); }
    void start();

private:
    void join();
    void onMemberRow(const std::optional<TableRow> &row);
    void beginOwnership(std::uint64_t incarnation);
    void tick();
    void onConfiguration();
    void acquire(const OwnedResource &resource);
    void release(const std::string &resource);

    std::optional<Endpoint> findOwner(const std::string &pool) const;
    void handleLocally(const api::JobCall &call, const JobRelay::ReplyCallback &answer);
    void send(const Endpoint &endpoint, const api::JobCall &call, TimePoint deadline,
              const JobRelay::SendCallback &sent);
    void acquirePool(const std::string &pool, const OwnedResource &resource);
    void evacuate(const api::EvacuationCall &call,
                  const std::function<void(const api::EvacuationReply *)> &callback);
    void demand(const api::DemandCall &call,
                const std::function<void(const api::DemandReply *)> &callback);
    template<typename Args, typename Result, typename Call, typename Reply>
    void askOwner(const char *method, const Call &call, Reply (PoolOwner::*answer)(const Call &),
                  const std::function<void(const Reply *)> &callback);
    template<typename Args, typename Result, typename Call, typename Reply>
    void addOwnerMethod(const char *method, Reply (PoolOwner::*answer)(const Call &));
    void addPeerMethods();
    void updateCarriers();
    void sendToCarrier(const Endpoint &endpoint, const api::CarryCall &message, TimePoint deadline,
                       const CarrierClient::SendCallback &callback);
    void serveReadiness(const std::shared_ptr<HttpExchange> &exchange) const;
    void drain(std::function<void()> done);
    void closeCallers();
    bool isOwner() const;
    bool isReady() const;

    Daemon &m_daemon;
    NodeSettings m_settings;
    DecisionLog m_log;
    StoreClient m_store;
    StoreTable m_coordination;
    RpcClient m_rpc;
    Timer m_carrierTimer;
    CarrierClient m_carriers; // carriers of this node's calls to runners
    RunnerCarrier m_runnerCarrier; // calls made for other nodes
    RunnerClient m_runners;
    FleetClient m_fleet;
    RpcServer m_peerMethods;
    OperatorWatch m_operators;
    RunnerWatch m_runnerWatch;
    JobRelay m_relay;
    Ingress m_ingress;
    AdviceClient m_adviceClient;
    AdviceCalls m_advice; // calls of all pools owned by this node
    PoolMetrics m_poolMetrics;
    PoolContext m_poolContext;
    std::vector<std::string> m_carrierNames; // carriers chosen last
    // Most runners listed since this node owns pools. Hosts in the spare pool are not listed.
    std::size_t m_mostRunners = 0;
    std::map<std::string, std::unique_ptr<PoolOwner>> m_pools; // pools owned by this node
    std::vector<std::unique_ptr<PoolOwner>> m_deposed; // former owners, destroyed in the next tick
    FleetContext m_fleetContext;
    std::unique_ptr<FleetOwner> m_fleetOwner; // set if this node owns the fleet
    std::optional<Ownership> m_ownership; // set once this process has an incarnation
    ClientBudget m_clientBudget; // shared by the two servers
    HttpServer m_callers;
    HttpServer m_readiness;
    ClientLimitReport m_clientLimitReport;
    Timer m_tickTimer;
    Timer m_joinTimer;
    Timer m_closeTimer;
    ServerShutdown m_callersShutdown;
    std::function<void()> m_onDrained;
    TimePoint m_graceEnd{};
    bool m_isDraining = false;
};

} // namespace sequoiapier
