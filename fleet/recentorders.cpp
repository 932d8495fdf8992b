#include "fleet/recentorders.h"

#include "sequoiapier/boundedjson.h"

#include <algorithm>

namespace sequoiapier {

using nlohmann::json;

Result<RecentOrdersRow> parseRecentOrders(std::string_view text)
{
    const json body = parseJson(text);
    const bool isRow = body.is_object() && body.contains("epoch") && body.contains("hosts")
        && body["epoch"].is_number_unsigned() && body["hosts"].is_array();
    if (!isRow)
        return Error{ResultCode::RowMalformed, "not a row of ordered hosts"};
    RecentOrdersRow row{.epoch = body["epoch"].get<std::uint64_t>()};
    for (const json &host : body["hosts"]) {
        if (!host.is_string())
            return Error{ResultCode::RowMalformed, "an ordered host has no name"};
        row.hosts.insert(host.get<std::string>());
    }
    return row;
}

std::string encodeRecentOrders(const RecentOrdersRow &row)
{
    return json{{"epoch", row.epoch}, {"hosts", row.hosts}}.dump();
}

void RecentOrders::inherit(const std::set<std::string> &hosts, TimePoint now)
{
    for (const std::string &host : hosts)
        m_blockedUntil[host] = now + m_interval;
}

bool RecentOrders::isBlocked(const std::string &host, TimePoint now) const
{
    const auto found = m_blockedUntil.find(host);
    return found != m_blockedUntil.end() && now < found->second;
}

std::set<std::string> RecentOrders::blockedHosts(TimePoint now) const
{
    std::set<std::string> blocked;
    for (const auto &[host, until] : m_blockedUntil) {
        if (now < until)
            blocked.insert(host);
    }
    return blocked;
}

void RecentOrders::add(const std::string &host, TimePoint until)
{
    TimePoint &recentUntil = m_recentUntil[host];
    recentUntil = std::max(recentUntil, until + m_interval);
}

// The hosts of earlier holders stay in the row until their time is over: the next holder would
// otherwise order them within the interval of the holder before this one.
std::set<std::string> RecentOrders::hosts(TimePoint now)
{
    std::set<std::string> hosts = blockedHosts(now);
    std::erase_if(m_recentUntil, [&](const auto &item) { return now >= item.second; });
    for (const auto &[host, until] : m_recentUntil)
        hosts.insert(host);
    return hosts;
}

} // namespace sequoiapier
