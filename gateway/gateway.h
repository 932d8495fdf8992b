// Gateway: admits callers' requests according to the current configuration and hands them to the
// dispatcher.
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
    // Refuses new requests and calls `done` when all held requests are answered, the loans are
    // returned, and callers have neither connected nor sent anything for the quiet time or can no
    // longer connect.
    void drain(std::function<void()> done);

private:
    struct Admission
    {
        const QueueConfig *queue = nullptr;
        std::string team; // empty for a request without a key on an open queue
    };

    void startLiveList();
    void applyConfiguration(const Configuration &configuration);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void submitUnlessDuplicate(const std::shared_ptr<HttpExchange> &exchange,
                               const CallerRequest &request, const Admission &admission);
    Result<Admission> admit(const CallerRequest &request);
    bool isKeyValid(std::string_view digest);
    Result<std::string> findTeam(const CallerRequest &request, const QueueConfig &queue);

    Daemon &m_daemon;
    GatewaySettings m_settings;
    PeerNode m_node;
    DuplicateGuard m_duplicates;
    Dispatcher m_dispatcher;
    bool m_isConfigured = false;
    bool m_isRecordComplete = false; // the record of sent requests is complete from now on
    Timer m_recordTimer;
    std::unique_ptr<LiveListClient> m_liveList;
    HttpServer m_server;
    ServerShutdown m_shutdown;
};

} // namespace sequoiapier
