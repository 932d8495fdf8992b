#include "testing/standin/liveliststandin.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

} // namespace

LiveListStandin::LiveListStandin(Daemon &daemon, std::int64_t lagMilliseconds)
    : m_lagMilliseconds(lagMilliseconds)
{
    daemon.route("/hosts",
                 [this](const std::shared_ptr<HttpExchange> &exchange) { changeState(*exchange); });
    daemon.route("/livelist",
                 [this](const std::shared_ptr<HttpExchange> &exchange) { serve(*exchange); });
    daemon.route("/faults", [this](const std::shared_ptr<HttpExchange> &exchange) {
        const Result<Faults> faults = parseFaults(exchange->request().body);
        if (faults)
            m_faults = faults.value();
        exchange->reply({.status = faults ? 200 : StatusBadRequest});
    });
}

void LiveListStandin::changeState(HttpExchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!json.is_object() || !json.contains("address") || !json.contains("state")) {
        exchange.reply({.status = StatusBadRequest});
        return;
    }
    m_changes.push_back({BootClock::now() + std::chrono::milliseconds(m_lagMilliseconds),
                         json["address"], json["state"]});
    exchange.reply({});
}

void LiveListStandin::serve(HttpExchange &exchange)
{
    if (m_faults.outage) {
        exchange.reply({.status = StatusUnavailable});
        return;
    }
    while (!m_changes.empty() && m_changes.front().due <= BootClock::now()) {
        m_hosts[m_changes.front().address] = m_changes.front().state;
        m_changes.pop_front();
    }
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto &[address, state] : m_hosts)
        hosts.push_back({{"address", address}, {"state", state}});
    exchange.reply({.body = nlohmann::json{{"hosts", hosts}}.dump()});
}

} // namespace sequoiapier
