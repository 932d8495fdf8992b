// CeilingAllocator: claims and releases the part of each team's ceiling that one pool may use. The
// parts are kept in the platform's store.
//
//   CeilingAllocator ceilings(store, log, pool, epoch, changed);
//   ceilings.update(engine.teamDemands(), configuration);   // in each tick of the pool's owner
//   std::optional<Resources> limit = ceilings.limit(configuration, team);   // engine hook
//
// A team's part is requested when the pool first has work of the team and when the team wants more.
// It is reduced once the team has wanted much less for a while, and as soon as another pool is seen
// to need it. While the store is unavailable the parts stay in force.
//
// A pool that holds a part reads the row each second, since only the pools that hold the ceiling
// can leave some of it to others. A pool without work of the team holds none.
#pragma once

#include "jobs/ceilingparts.h"
#include "jobs/engine.h"
#include "node/decisionlog.h"
#include "platform/storeclient.h"
#include "sequoiapier/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoiapier {

class CeilingAllocator
{
public:
    CeilingAllocator(StoreClient &store, DecisionLog &log, std::string pool, std::uint64_t epoch,
                     std::function<void()> changed);

    void update(const std::map<std::string, jobs::TeamDemand> &demands,
                const Configuration &configuration);
    // Returns what the team may have running in this pool; nullopt if the team has no ceiling.
    std::optional<Resources> limit(const Configuration &configuration, std::string_view team) const;

private:
    struct Entry
    {
        bool isClaimed = false; // This owner has claimed the part.
        bool isInDoubt = false; // A change was not answered and may still be applied.
        bool isBusy = false;
        std::uint64_t version = 0;
        jobs::CeilingParts parts;
        jobs::CeilingNeed need; // what running and waiting work needs now
        std::int64_t inUse = 0; // thousandths of the ceiling
        std::int64_t limit = 0; // thousandths up to which tasks may start
        TimePoint nextChangeAt{}; // earliest time of the next change
        TimePoint nextCheckAt{}; // earliest time of a read in case another pool needs the part
        TimePoint surplusSince{}; // when the part began to be much larger than wanted
    };

    void startChange(const std::string &team, Entry &entry, TimePoint now);
    bool isChangeDue(Entry &entry, TimePoint now) const;
    bool isSurplusDue(Entry &entry, TimePoint now) const;
    bool isCheckDue(const Entry &entry, TimePoint now) const;
    void updateNeed(Entry &entry, const jobs::TeamDemand &demand, const Resources &ceiling) const;
    void updateWaiting(Entry &entry) const;
    jobs::CeilingNeed requestedNeed(const Entry &entry) const;
    void read(const std::string &team);
    void onRead(const std::string &team, const Result<std::optional<StoreRow>> &row);
    void write(const std::string &team);

    StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_pool;
    std::uint64_t m_epoch;
    std::function<void()> m_changed;
    std::map<std::string, Entry, std::less<>> m_entries; // entries by team name
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
