// RecentOrders: which hosts the holders of the orders for hosts may have ordered lately.
//
//   RecentOrders recent(interval);
//   recent.inherit(hostsOfTheRow, now);          // by a new holder
//   if (!recent.isBlocked(host, now)) ...        // it may order the host
//   recent.add(host, until);                     // before an order: it may arrive until then
//   write(recent.encode(now));                   // the order is sent once this is in the store
//
// Orders of two holders for one host within the holder interval conflict. A holder that waited for
// the interval before its first order would leave each pool without further hosts for so long: when
// all nodes are lost in a peak, the queue at its peak has a twentieth of the hosts that it needs.
// So each holder keeps the names of the hosts that it orders in a row of the store, and the next
// one waits only for these. Cost: O(log n) for each order in n hosts of the last seconds.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace sequoiapier {

struct RecentOrdersRow
{
    std::uint64_t epoch = 0; // of the holder that wrote the row
    std::set<std::string> hosts;
};

// Returns RowMalformed if `text` is not such a row.
Result<RecentOrdersRow> parseRecentOrders(std::string_view text);
std::string encodeRecentOrders(const RecentOrdersRow &row);

class RecentOrders
{
public:
    explicit RecentOrders(Duration interval)
        : m_interval(interval)
    { }

    // The hosts that earlier holders may have ordered until now.
    void inherit(const std::set<std::string> &hosts, TimePoint now);
    // Whether an earlier holder may have ordered the host within the interval.
    bool isBlocked(const std::string &host, TimePoint now) const;
    std::set<std::string> blockedHosts(TimePoint now) const;
    // An order of this holder may reach the host until then.
    void add(const std::string &host, TimePoint until);
    // Hosts that the next holder would have to wait for. Forgets the others.
    std::set<std::string> hosts(TimePoint now);

private:
    Duration m_interval;
    std::map<std::string, TimePoint> m_blockedUntil; // hosts of earlier holders
    std::map<std::string, TimePoint> m_recentUntil; // hosts of this holder
};

} // namespace sequoiapier
