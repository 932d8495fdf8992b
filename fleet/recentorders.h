// RecentOrders: the hosts that the holders of the orders for hosts may have ordered lately.
//
//   RecentOrders recent(interval);
//   recent.inherit(hostsOfTheRow, now);              // by a new holder
//   if (!recent.isBlocked(host, now)) ...            // it may order the host
//   recent.add(host, deadline);                      // its order may arrive until the deadline
//   row = encodeRecentOrders({epoch, recent.hosts(now)});   // for the next holder
//
// Orders of two holders for one host within the holder interval conflict. A new holder that waited
// for the interval before its first order would leave a pool at its peak short of hosts for that
// time. It therefore waits only for the hosts that the former one has recorded.
//
// Cost: O(log n) for each order and O(n) for a row, in n hosts ordered within the interval.
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

    // Blocks the hosts that earlier holders may have ordered until now.
    void inherit(const std::set<std::string> &hosts, TimePoint now);
    // Whether an earlier holder may have ordered the host within the interval.
    bool isBlocked(const std::string &host, TimePoint now) const;
    std::set<std::string> blockedHosts(TimePoint now) const;
    // An order of this holder may reach the host until `until`.
    void add(const std::string &host, TimePoint until);
    // Hosts that the next holder would have to wait for. Forgets the others.
    std::set<std::string> hosts(TimePoint now);

private:
    Duration m_interval;
    std::map<std::string, TimePoint> m_blockedUntil; // hosts of earlier holders
    std::map<std::string, TimePoint> m_recentUntil; // hosts of this holder
};

} // namespace sequoiapier
