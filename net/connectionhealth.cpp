// O(1). A suspect connection stays suspect: bytes that come after all belong to an answer given up.
#include "net/connectionhealth.h"

#include <algorithm>

namespace sequoiapier {

ConnectionHealth::ConnectionHealth(TimePoint now)
    : m_provedUntil(now + ProofTime)
{ }

void ConnectionHealth::onBytesReceived(TimePoint now)
{
    m_provedUntil = std::max(m_provedUntil, now + ProofTime);
}

} // namespace sequoiapier
