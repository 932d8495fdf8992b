// Gateway: takes callers' requests, sends each to one runner and answers once.
#pragma once

#include "gateway/callerrequest.h"
#include "gateway/gatewaysettings.h"
#include "platform/remotetable.h"
#include "sequoiapier/configuration.h"

#include <prometheus/counter.h>

#include <memory>

namespace sequoiapier {

class Gateway
{
public:
    Gateway(Daemon &daemon, const GatewaySettings &settings);

    bool isListening() const { return m_server.isListening(); }
    // Refuses new requests and calls `done` when all held ones are answered.
    void drain(std::function<void()> done);

private:
    void pollConfiguration();
    void applyConfiguration(const TableRow &row);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    Result<const ServiceConfig *> admit(const CallerRequest &request) const;
    void send(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &request,
              const ServiceConfig &service);
    void refuse(HttpExchange &exchange, const Error &error);
    void finishOne();

    Daemon &m_daemon;
    GatewaySettings m_settings;
    RemoteTable m_remoteTable;
    Table m_table;
    Configuration m_configuration;
    Timer m_pollTimer;
    HttpServer m_server;
    std::size_t m_inFlight = 0;
    std::size_t m_nextRunner = 0;
    std::function<void()> m_drained;
    prometheus::Counter &m_answered;
    prometheus::Counter &m_refused;
};

} // namespace sequoiapier
