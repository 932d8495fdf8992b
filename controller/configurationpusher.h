// ConfigurationPusher: pushes a committed configuration to the gateways before the operator who
// changed it is answered.
//
//   pusher.push(committed, [](bool isSettled) { ... });
//
// A push is repeated every RepushInterval until a majority of the gateways has taken the version
// (isSettled is true) or PushTimeout has passed (isSettled is false).
#pragma once

#include "controller/operatorchange.h"
#include "peer/peernode.h"
#include "sequoiapier/pushround.h"

#include <list>

namespace sequoiapier {

class ConfigurationPusher
{
public:
    static constexpr Duration RepushInterval = std::chrono::milliseconds(200);
    static constexpr Duration PushTimeout = std::chrono::seconds(3);

    ConfigurationPusher(Daemon &daemon, PeerNode &node)
        : m_daemon(daemon)
        , m_node(node)
    { }

    void push(const CommittedVersion &committed, std::function<void(bool isSettled)> done);

private:
    struct Round
    {
        PushRound progress;
        ConfigurationPush message;
        TimePoint deadline;
        std::function<void(bool)> done;
        std::unique_ptr<Timer> timer;
    };

    void send(const std::shared_ptr<Round> &round);
    void finish(const std::shared_ptr<Round> &round, bool isSettled);

    Daemon &m_daemon;
    PeerNode &m_node;
    std::list<std::shared_ptr<Round>> m_rounds;
};

} // namespace sequoiapier
