// All operations are O(1). A suspect connection stays suspect: bytes that arrive later belong to an
// answer that is no longer awaited.
#include "net/connectionhealth.h"

#include <algorithm>

namespace sequoiapier {

ConnectionHealth::ConnectionHealth(TimePoint now)
    : m_provedAliveUntil(now + ProofTime)
{ }

void ConnectionHealth::onBytesReceived(TimePoint now)
{
    m_provedAliveUntil = std::max(m_provedAliveUntil, now + ProofTime);
}

} // namespace sequoiapier
