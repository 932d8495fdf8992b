// FleetOwner: moves hosts between pools and carries out maintenance waves, as the owner of the
// fleet.
//
//   FleetOwner owner(context, epoch);
//   owner.start();
//   owner.setWaves(operators.waves());
//
// Before a host is ordered to move or to start its maintenance, the owner of its pool empties it.
// The hosts of a wave that have begun their maintenance are kept in the platform's store; after a
// takeover everything else is learned again from the platform's list of hosts. Orders carry the
// epoch as their fencing token.
//
// Orders of two owners for one host within the holder interval conflict. A new owner therefore
// waits for the interval, except for moves of hosts that the former one has not ordered lately
// (OrderRecord): without them a pool at its peak would stay without hosts for seconds. Maintenance
// waits in any case, since the platform's list shows only later which hosts are out for it.
#pragma once

#include "fleet/fleetplanner.h"
#include "fleet/hostlisting.h"
#include "gen/node_types.h"
#include "net/timer.h"
#include "node/decisionlog.h"
#include "node/orderrecord.h"
#include "platform/fleetclient.h"
#include "platform/nodesettings.h"
#include "platform/storeclient.h"
#include "sequoiapier/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct FleetContext
{
    Loop &loop;
    StoreClient &store;
    FleetClient &fleet;
    DecisionLog &log;
    const NodeSettings &settings;
    FleetWeights weights;
    std::function<bool()> isOwner;
    std::function<const Configuration &()> configuration;
    // The callbacks get nullptr if the pool's owner was not reached.
    std::function<void(const api::EvacuationCall &,
                       std::function<void(const api::EvacuationReply *)>)>
        evacuate;
    std::function<void(const api::DemandCall &, std::function<void(const api::DemandReply *)>)>
        demand;
};

class FleetOwner
{
public:
    FleetOwner(FleetContext &context, std::uint64_t epoch);
    FleetOwner(const FleetOwner &) = delete;
    FleetOwner &operator=(const FleetOwner &) = delete;

    void start();
    void setWaves(const std::map<std::uint64_t, WaveOrder> &waves);

private:
    struct ActiveOperation
    {
        HostOperation operation;
        std::string runner; // the host's runner instance when the operation began
        std::string fromPool;
        TimePoint begunAt;
        bool isEvacuationPending = false; // A call to the pool's owner is unanswered.
        TimePoint emptyUntil{}; // Until then the host is empty and nothing is started on it.
        TimePoint nextEvacuationCallAt{}; // next call to empty the host or to keep it empty
        bool isOrderSent = false; // An order is unanswered.
        bool mayBeApplied = false; // An order was sent and may have been applied.
        TimePoint orderedAt{}; // when the order was accepted
        TimePoint retryAt{};
    };
    struct Wave
    {
        WaveState state;
        std::uint64_t rowVersion = 0;
        std::int64_t startedAt = 0; // Unix milliseconds
        bool isLoaded = false;
        bool isCompleted = false;
        bool isBusy = false; // The wave's row is being read or written.
        bool isDirty = false;
        bool isStatusWritten = false; // The status in the store is up to date.
    };
    using Guard = std::weak_ptr<bool>; // expires with this object

    void load(std::uint64_t number);
    void onLoaded(std::uint64_t number, const Result<std::optional<StoreRow>> &row);
    void save(std::uint64_t number);
    void writeStatus(std::uint64_t number);
    void completeWaves();

    void tick();
    void readHosts();
    void onHosts(const std::vector<FleetHost> &hosts, TimePoint askedAt);
    void askDemands();
    void onDemand(const std::string &pool, const api::DemandReply *reply);
    void plan();
    void logPools() const;
    std::map<std::string, HostOperation> operationsInProgress() const;
    void beginOperations(const std::vector<HostOperation> &operations);
    void advanceOperations();
    void advanceOperation(const std::string &host, ActiveOperation &active);
    bool isRunnerReplaced(const std::string &host, const ActiveOperation &active) const;
    void requestEvacuation(const std::string &host, ActiveOperation &active);
    void order(const std::string &host, ActiveOperation &active);
    void onOrdered(const std::string &host, FleetAnswer answer);
    void finishOperations(TimePoint askedAt);
    std::uint32_t countInMaintenance(std::uint64_t wave) const;
    const FleetHost *findHost(const std::string &name) const;
    OrderRecord::Hooks recordHooks();
    bool canOrder() const;
    bool canMove() const;

    FleetContext &m_context;
    std::uint64_t m_epoch;
    std::map<std::uint64_t, Wave> m_waves;
    HostListing m_listing;
    TimePoint m_hostsAt{};
    std::map<std::string, FleetPool> m_pools;
    std::map<std::string, TimePoint> m_demandAt; // time of the last demand answer by pool
    std::map<std::string, ActiveOperation> m_operations; // operations in progress by host name
    OrderRecord m_record;
    TimePoint m_ordersAllowedAt{}; // All hosts may be ordered from then on.
    bool m_isReadingHosts = false;
    TimePoint m_nextRead{};
    TimePoint m_nextDemand{};
    TimePoint m_nextMoves{};
    Timer m_timer;
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
