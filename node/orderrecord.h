// OrderRecord: the row in the platform's store with the hosts that the holder of the orders for
// hosts has ordered lately, so that the next holder need not wait before it moves other hosts.
//
//   OrderRecord record(rowStore(store), {.epoch = epoch, .interval = interval}, hooks);
//   record.request(host);                     // for each host that is to be ordered
//   record.tick();                            // starts the call that is due; also every 100 ms
//   if (!record.isBlocked(host) && record.isRecorded(host)) {
//       record.onOrderSent(host, deadline);   // and send the order
//   }
//
// The holder claims the row with its epoch before its first order. Each write expects the version
// of the last one. So a former holder can record no host any more once the row is claimed, and what
// it records before is read with the claim. After a write without an answer nothing counts as
// recorded until another one has succeeded.
#pragma once

#include "fleet/recentorders.h"
#include "node/poolstaterow.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sequoiapier {

class OrderRecord
{
public:
    struct Options
    {
        std::uint64_t epoch = 1; // of this holder
        Duration interval{}; // orders of two holders for one host within it conflict
        // A slow store takes a third of a second. A longer timeout would delay moves where answers
        // are lost.
        Duration storeTimeout = std::chrono::milliseconds(600);
        // Time for which a requested host stays in the row if it isn't ordered.
        Duration requestTime = std::chrono::milliseconds(2'000);
    };

    struct Hooks
    {
        std::function<TimePoint()> now;
        std::function<void()> onWritten; // hosts that were requested may be recorded now
        // The row was claimed, which the holder of epoch `writer` wrote before (0 if none or
        // unknown). `hosts` is the number of hosts that this holder waits for.
        std::function<void(std::uint64_t writer, std::size_t hosts)> onClaimed;
    };

    OrderRecord(PoolStateStore store, Options options, Hooks hooks);
    OrderRecord(const OrderRecord &) = delete;
    OrderRecord &operator=(const OrderRecord &) = delete;

    // Starts the read or the write that is due.
    void tick();
    // Whether the row is claimed and was written by the holder just before this one, so that it
    // tells all hosts that may not be ordered yet.
    bool knowsFormerOrders() const
    {
        return m_isClaimed && m_writer && *m_writer + 1 == m_options.epoch;
    }
    // Whether a former holder may have ordered the host within the interval.
    bool isBlocked(const std::string &host) const
    {
        return m_orders.isBlocked(host, m_hooks.now());
    }
    // Whether the host is in the row and stays there until the write under way is over.
    bool isRecorded(const std::string &host) const;
    // Has the host recorded with the next write.
    void request(const std::string &host);
    // The order may reach the host until `until`.
    void onOrderSent(const std::string &host, TimePoint until) { m_orders.add(host, until); }

private:
    using Guard = std::weak_ptr<bool>; // expires with this object

    void read();
    void onRead(const Result<std::optional<StoreRow>> &row);
    void write();
    void onWriteAnswer(const StoreCommit &commit);
    void onClaimed();

    PoolStateStore m_store;
    Options m_options;
    Hooks m_hooks;
    RecentOrders m_orders;
    std::set<std::string> m_recorded; // hosts in the row
    std::set<std::string> m_writing; // hosts in the write under way
    // Epoch of the holder that wrote the row before it was claimed; 0 if there was none, unset if
    // the row can't be read.
    std::optional<std::uint64_t> m_writer;
    std::uint64_t m_version = 0;
    bool m_isVersionKnown = false;
    bool m_isClaimed = false; // The row has this holder's epoch.
    bool m_isWriteNeeded = true; // The first write claims the row.
    bool m_isBusy = false;
    bool m_isDeposed = false; // A later holder has claimed the row.
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
