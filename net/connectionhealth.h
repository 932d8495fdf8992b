// ConnectionHealth: whether a connection to a runner is proved alive.
//
//   ConnectionHealth health(handshakeTime);
//   health.onBytesReceived(now);
//   if (!health.mayCarry(isIdempotent, now))
//       openAnother();
//
// Something between the two ends may lose track of an open connection; nothing tells the sender.
// Only bytes from the other end (the handshake counts) prove that it works, and only for a while.
// A non-idempotent request goes on a proved connection only; an idempotent one also on an older
// one, as long as nothing sent on it has stayed unanswered.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class ConnectionHealth
{
public:
    static constexpr Duration ProofTime = std::chrono::seconds(1);

    // `now`: when the handshake was completed.
    explicit ConnectionHealth(TimePoint now);

    void onBytesReceived(TimePoint now);
    // A request was sent on it and its deadline or probe time passed without an answer.
    void onUnanswered() { m_isSuspect = true; }

    bool isProvedAlive(TimePoint now) const { return !m_isSuspect && now <= m_provedUntil; }
    bool mayCarry(bool isIdempotent, TimePoint now) const
    {
        return isIdempotent ? !m_isSuspect : isProvedAlive(now);
    }

private:
    TimePoint m_provedUntil;
    bool m_isSuspect = false;
};

} // namespace sequoiapier
