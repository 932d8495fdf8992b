// PushRound: when a committed version may be answered to the operator.
//
//   PushRound round(version, std::max(oldConfiguration.maxGateways, next.maxGateways));
//   // send a ConfigurationPush to every gateway; for each answer:
//   round.onTaken("gateway-1", seenVersion);
//   if (round.isSettled()) ... // answer Committed
//
// A version is settled once more than half of the gateways that may run at once have taken it: from
// then on no majority of them can vouch for an older one in an outage of the table (see
// Confirmation). With maxGateways 0 nothing is served in an outage, and it is settled at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace sequoiapier {

class PushRound
{
public:
    PushRound(std::uint64_t version, std::size_t maxGateways)
        : m_version(version)
        , m_maxGateways(maxGateways)
    { }

    // `gateway` answered a push, or a poll, with the highest version it has examined.
    void onTaken(std::string_view gateway, std::uint64_t seenVersion)
    {
        if (seenVersion >= m_version)
            m_takers.emplace(gateway);
    }
    bool isSettled() const { return m_maxGateways == 0 || m_takers.size() * 2 > m_maxGateways; }
    std::uint64_t version() const { return m_version; }
    std::size_t takers() const { return m_takers.size(); }

private:
    std::uint64_t m_version;
    std::size_t m_maxGateways;
    std::set<std::string, std::less<>> m_takers;
};

} // namespace sequoiapier
