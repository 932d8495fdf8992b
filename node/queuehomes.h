// QueueHomes: claims queues for one pool in the platform's store, so that the pool may accept their
// jobs.
//
//   QueueHomes homes(store, log, pool, [] { ... });   // called when a claim has been settled
//   switch (homes.standing(address, configuration.version)) { ... }
//   homes.retry();   // in each tick of the pool's owner
//
// A queue is known by its address, which is its host and path prefix: callers name a job by these
// and the job's identifier. A claim takes a read, and a write if the row changes. It is kept while
// the pool's owner lives, unless another pool asks about a job of the queue.
#pragma once

#include "jobs/queuehome.h"
#include "node/decisionlog.h"
#include "platform/storeclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sequoiapier {

enum class QueueStanding : std::uint8_t {
    Unsettled, // A claim is under way.
    Home, // The pool accepts the queue's jobs.
    Elsewhere, // Another pool has claimed the queue by the same or a newer configuration.
};

class QueueHomes
{
public:
    QueueHomes(StoreClient &store, DecisionLog &log, std::string pool,
               std::function<void()> settled);

    // Returns the pool's standing by the given version of the configuration, which sends the queue
    // to the pool. Starts a claim if there is none.
    QueueStanding standing(const std::string &address, std::uint64_t configuration);
    // Returns the row of a queue whose standing is Home.
    const jobs::QueueHome &home(const std::string &address) const;
    // Returns the version of that row.
    std::uint64_t version(const std::string &address) const;
    // Called when another pool asks about a job of the queue: a claim of this pool that was made
    // before is not valid any more.
    void invalidate(const std::string &address);
    // Called when the former pools have no jobs of the queue left.
    void forgetFormerPools(const std::string &address);
    // Starts claims again that the store has not answered.
    void retry();
    // Forgets the queues that are not sent to the pool any more.
    void keepOnly(const std::set<std::string> &addresses);

private:
    struct Entry
    {
        std::optional<jobs::QueueHome> home; // Set while the pool's claim is valid.
        std::uint64_t version = 0; // Version of the row.
        std::uint64_t configuration = 0; // Version by which the queue is to be claimed.
        std::uint64_t refusedConfiguration = 0; // Version by which another pool kept the queue.
        bool isBusy = false;
        // Set when the claim under way became invalid.
        bool isOutdated = false;
        TimePoint retryAt = TimePoint::max();
    };

    void read(const std::string &address);
    void onRead(const std::string &address, const Result<std::optional<StoreRow>> &row);
    void write(const std::string &address, const jobs::QueueHome &next);
    void settle(const std::string &address, const jobs::QueueHome &home, std::uint64_t version);
    void fail(const std::string &address, std::string_view detail);

    StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_pool;
    std::function<void()> m_settled;
    std::map<std::string, Entry> m_entries; // entries by address
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
