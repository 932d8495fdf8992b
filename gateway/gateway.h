// Gateway: admits callers' requests by the configuration in force and hands them to the dispatcher.
#pragma once

#include "gateway/callerrequest.h"
#include "gateway/dispatcher.h"
#include "gateway/duplicateguard.h"
#include "gateway/gatewaysettings.h"
#include "net/servershutdown.h"
#include "peer/peernode.h"

#include <memory>

namespace sequoiapier {

class Gateway
{
public:
    Gateway(Daemon &daemon, const GatewaySettings &settings);

    bool isListening() const { return m_server.isListening(); }
    // Refuses new requests; calls `done` when all held ones are answered, no caller has connected
    // or sent anything for the quiet time, or none can any more, and the loans are returned.
    void drain(std::function<void()> done);

private:
    struct Admission
    {
        const QueueConfig *queue = nullptr;
        std::string team; // empty on an open queue without a key
    };

    void startLiveList();
    void applyConfiguration(const Configuration &configuration);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void submitOnce(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &request,
                    const Admission &admission);
    Result<Admission> admit(const CallerRequest &request);
    bool isKeyValid(std::string_view digest);
    Result<std::string> findTeam(const CallerRequest &request, const QueueConfig &queue);

    Daemon &m_daemon;
    GatewaySettings m_settings;
    PeerNode m_node;
    DuplicateGuard m_duplicates;
    Dispatcher m_dispatcher;
    bool m_isConfigured = false;
    bool m_isSettled = false; // the record of sent requests has begun
    Timer m_settledTimer;
    std::unique_ptr<LiveListClient> m_liveList;
    HttpServer m_server;
    ServerShutdown m_shutdown;
};

} // namespace sequoiapier
