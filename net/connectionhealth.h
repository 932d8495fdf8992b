// ConnectionHealth: tracks whether an open connection to a runner is proved to be alive.
//
//   ConnectionHealth health(handshakeTime);
//   health.onBytesReceived(now);
//   if (!health.canSend(isIdempotent, now))
//       openNewConnection();
//
// A network device between the two ends may drop the state of an open connection without the sender
// noticing. Only received bytes, including the handshake, prove that a connection works, and only
// for ProofTime. A non-idempotent request may only be sent on a proved connection. An idempotent
// request may also be sent on one whose proof has expired, unless a request on it timed out.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class ConnectionHealth
{
public:
    static constexpr Duration ProofTime = std::chrono::seconds(1);

    // `now` is the time at which the handshake was completed.
    explicit ConnectionHealth(TimePoint now);

    void onBytesReceived(TimePoint now);
    // Records that a request sent on the connection got no answer by its deadline or probe time.
    void onRequestTimeout() { m_isSuspect = true; }

    bool isProvedAlive(TimePoint now) const { return !m_isSuspect && now <= m_provedAliveUntil; }
    bool canSend(bool isIdempotent, TimePoint now) const
    {
        return isIdempotent ? !m_isSuspect : isProvedAlive(now);
    }

private:
    TimePoint m_provedAliveUntil;
    bool m_isSuspect = false;
};

} // namespace sequoiapier
