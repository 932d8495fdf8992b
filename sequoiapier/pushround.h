// PushRound: counts the gateways that have received a committed version, to tell when the operator
// may be answered.
//
//   PushRound round(version, std::max(oldConfiguration.maxGateways, next.maxGateways));
//   // send a ConfigurationPush to every gateway; for each answer:
//   round.onReceived("gateway-1", seenVersion);
//   if (round.isSettled()) ... // answer Committed
//
// A version is settled once more than half of the gateways that may run at once have received it:
// from then on no majority of them can vouch for an older version in a table outage (see
// Confirmation). With maxGateways 0 no requests are served in an outage, and a version is settled
// at once.
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

    // Records the answer of `gateway` to a push or a poll: the highest version that it has
    // examined.
    void onReceived(std::string_view gateway, std::uint64_t seenVersion)
    {
        if (seenVersion >= m_version)
            m_receivers.emplace(gateway);
    }
    bool isSettled() const { return m_maxGateways == 0 || m_receivers.size() * 2 > m_maxGateways; }
    std::uint64_t version() const { return m_version; }
    std::size_t receiverCount() const { return m_receivers.size(); }

private:
    std::uint64_t m_version;
    std::size_t m_maxGateways;
    std::set<std::string, std::less<>> m_receivers; // gateways that have examined the version
};

} // namespace sequoiapier
