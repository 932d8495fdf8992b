// FleetOwner: moves hosts between pools and carries maintenance waves through, as the fleet's
// owner.
//
//   FleetOwner owner(context, epoch);
//   owner.start();
//   owner.setWaves(operators.waves());
//
// A host on an errand is emptied by its pool's owner first and then ordered. Which hosts of a wave
// have begun their maintenance is kept in the platform's store; everything else is learned again
// after a takeover from the platform's list of hosts. Orders carry the epoch as their token.
#pragma once

#include "fleet/fleetplanner.h"
#include "gen/node_types.h"
#include "net/timer.h"
#include "node/decisionlog.h"
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
    // Empty reply: the pool's owner was not reached.
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
    struct Errand
    {
        HostErrand what;
        std::string runner; // the host's life when the errand began
        std::string fromPool;
        TimePoint begunAt;
        bool isAsking = false; // its pool's owner is asked
        TimePoint emptyUntil{}; // nothing runs on it, and nothing is started there before
        TimePoint askAgainAt{}; // to keep it empty
        bool isOrderSent = false; // and not answered yet
        bool mayBeOrdered = false; // an order may have been carried out
        TimePoint orderedAt{}; // accepted
        TimePoint retryAt{};
    };
    struct Wave
    {
        WaveState state;
        std::uint64_t rowVersion = 0;
        std::int64_t startedAt = 0; // Unix milliseconds
        bool isLoaded = false;
        bool isCompleted = false;
        bool isBusy = false; // its row is being read or written
        bool isDirty = false;
        bool isStatusWritten = false; // the newest state of it
    };
    using Guard = std::weak_ptr<bool>;

    void load(std::uint64_t number);
    void onLoaded(std::uint64_t number, const Result<std::optional<StoreRow>> &row);
    void save(std::uint64_t number);
    void writeStatus(std::uint64_t number);
    void completeWaves();

    void turn();
    void readHosts();
    void onHosts(const std::vector<FleetHost> &hosts, TimePoint askedAt);
    void askDemands();
    void onDemand(const std::string &pool, const api::DemandReply *reply);
    void plan();
    void notePools() const;
    std::map<std::string, HostErrand> errandsUnderWay() const;
    void begin(const std::vector<HostErrand> &errands);
    void advanceErrands();
    void advance(const std::string &host, Errand &errand);
    bool isForOtherLife(const std::string &host, const Errand &errand) const;
    void askPool(const std::string &host, Errand &errand);
    void order(const std::string &host, Errand &errand);
    void onOrdered(const std::string &host, FleetAnswer answer);
    void finishErrands(TimePoint askedAt);
    std::uint32_t maintainedNow(std::uint64_t wave) const;
    const FleetHost *findHost(const std::string &name) const;
    bool mayOrder() const;

    FleetContext &m_context;
    std::uint64_t m_epoch;
    std::map<std::uint64_t, Wave> m_waves;
    std::vector<FleetHost> m_hosts;
    TimePoint m_hostsAt{};
    std::map<std::string, FleetPool> m_pools;
    std::map<std::string, TimePoint> m_demandAt; // by pool, of the last answer
    std::map<std::string, Errand> m_errands; // by host
    TimePoint m_ordersFrom{};
    bool m_isReadingHosts = false;
    TimePoint m_nextRead{};
    TimePoint m_nextDemand{};
    TimePoint m_nextMoves{};
    Timer m_timer;
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
