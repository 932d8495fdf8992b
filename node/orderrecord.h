// OrderRecord: the row in the platform's store with the hosts that the holder of the orders for
// hosts has ordered lately, so that the next holder need not wait before it orders other hosts.
//
//   OrderRecord record(store, log, interval, epoch, [this] { advanceOperations(); });
//   record.request(host, now);                          // for each host that is to be ordered
//   record.tick();                                      // writes; also every 100 ms or so
//   if (record.isRecorded(host)) { record.onOrderSent(host, deadline); ... }   // send the order
//
// The holder claims the row with its epoch before its first order. Each write expects the version
// of the last one, so that a former holder can record no order any more once the row is claimed.
// After a write without an answer nothing counts as recorded until another one has succeeded.
#pragma once

#include "fleet/recentorders.h"
#include "node/decisionlog.h"
#include "platform/storeclient.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace sequoiapier {

class OrderRecord
{
public:
    OrderRecord(StoreClient &store, DecisionLog &log, Duration interval, std::uint64_t epoch,
                std::function<void()> onWritten);

    // Starts the read or the write that is due.
    void tick();
    // Whether the row tells which hosts the holder before this one has ordered.
    bool hasFormerOrders() const { return m_hasFormerOrders; }
    // Hosts that the holder before this one may have ordered within the interval.
    std::set<std::string> blockedHosts(TimePoint now) const { return m_orders.blockedHosts(now); }
    bool isBlocked(const std::string &host, TimePoint now) const
    {
        return m_orders.isBlocked(host, now);
    }
    // Whether the host is in the row and stays there until the write under way is over.
    bool isRecorded(const std::string &host) const;
    // Has the host recorded with the next write, for an order within RequestTime.
    void request(const std::string &host, TimePoint now);
    // The order may reach the host until `until`.
    void onOrderSent(const std::string &host, TimePoint until) { m_orders.add(host, until); }

private:
    using Guard = std::weak_ptr<bool>; // expires with this object

    void read();
    void onRead(const Result<std::optional<StoreRow>> &row);
    void onFormerRow(const std::optional<StoreRow> &row);
    void write();
    void onWriteAnswer(const StoreCommit &commit);

    StoreClient &m_store;
    DecisionLog &m_log;
    std::uint64_t m_epoch;
    std::function<void()> m_onWritten;
    RecentOrders m_orders;
    std::set<std::string> m_recorded; // hosts in the row
    std::set<std::string> m_writing; // hosts in the write under way
    std::uint64_t m_version = 0;
    bool m_isVersionKnown = false;
    bool m_isClaimed = false; // The former row was read.
    bool m_hasFormerOrders = false;
    bool m_isWriteNeeded = true; // The first write claims the row.
    bool m_isBusy = false;
    bool m_isDeposed = false; // A later holder has claimed the row.
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier
