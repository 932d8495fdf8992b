#include "testing/standin/hostsstandin.h"

#include <algorithm>
#include <sstream>

namespace sequoiapier {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr std::uint32_t TasksPerHost = 3; // Number of tasks that an admitted host runs.
constexpr Duration SnapshotInterval = std::chrono::milliseconds(50);

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

HostsStandin::HostsStandin(Daemon &daemon, const HostsSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_record({{"events", nlohmann::json::array()}, {"disturbed", 0}, {"reboots", 0}})
    , m_snapshotTimer(daemon.loop(), [this] { takeSnapshot(); })
{
    std::istringstream names(settings.names);
    for (std::string name; std::getline(names, name, ',');)
        m_hosts[name];
    const auto route = [&](const std::string &path, Handler handler) {
        daemon.route(path, [this, handler](const std::shared_ptr<HttpExchange> &exchange) {
            serve(exchange, handler);
        });
    };
    route("/hosts", &HostsStandin::list);
    route("/hosts/observe", &HostsStandin::observe);
    route("/hosts/command", &HostsStandin::command);
    daemon.route("/record", [this](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({.body = m_record.dump() + "\n"});
    });
    daemon.route("/faults", [this](const std::shared_ptr<HttpExchange> &exchange) {
        const Result<Faults> faults = parseFaults(exchange->request().body);
        if (faults)
            applyFaults(faults.value());
        exchange->reply({.status = faults ? 200 : StatusBadRequest});
    });
    takeSnapshot();
}

void HostsStandin::serve(const std::shared_ptr<HttpExchange> &exchange, Handler handler)
{
    if (m_faults.outage) {
        if (m_faults.silent)
            m_unanswered.push_back(exchange);
        else
            exchange->reply({.status = StatusUnavailable});
        return;
    }
    const std::string &body = exchange->request().body;
    const auto request = nlohmann::json::parse(body.empty() ? "{}" : body, nullptr, false);
    if (!request.is_object()) {
        exchange->reply({.status = StatusBadRequest});
        return;
    }
    const nlohmann::json answer = (this->*handler)(request);
    if (m_faults.lostAnswers > 0) {
        --m_faults.lostAnswers;
        m_unanswered.push_back(exchange);
        return;
    }
    if (answer.is_null())
        exchange->reply({.status = StatusNotFound});
    else
        exchange->reply({.body = answer.dump() + "\n"});
}

nlohmann::json HostsStandin::list(const nlohmann::json &)
{
    const TimePoint now = BootClock::now();
    while (m_snapshots.size() > 1 && m_snapshots[1].visibleAt <= now)
        m_snapshots.erase(m_snapshots.begin());
    return {{"hosts", m_snapshots.front().hosts}};
}

nlohmann::json HostsStandin::observe(const nlohmann::json &request)
{
    const auto found = m_hosts.find(request.value("host", ""));
    if (found == m_hosts.end() || found->second.isDead)
        return nullptr;
    const Host &host = found->second;
    return {{"fencedEpoch", host.fencedEpoch},
            {"running", host.running},
            {"admittedEpoch", host.admittedEpoch},
            {"maintainedEpoch", host.maintainedEpoch},
            {"isRebooting", host.rebootEpoch != 0},
            {"pool", host.pool},
            {"isDrained", host.admittedEpoch == 0 && host.running == 0}};
}

nlohmann::json HostsStandin::command(const nlohmann::json &request)
{
    const auto found = m_hosts.find(request.value("host", ""));
    if (found == m_hosts.end() || found->second.isDead)
        return nullptr;
    Host &host = found->second;
    const std::uint64_t epoch = request.value("epoch", std::uint64_t(0));
    if (epoch < host.epoch)
        return {{"taken", false}};
    host.epoch = epoch;
    const std::string kind = request.value("command", "");
    if (kind == "drain")
        drain(found->first, host);
    else if (kind == "maintain")
        maintain(found->first, host);
    else if (kind == "admit")
        admit(found->first, host, request.value("pool", ""));
    return {{"taken", true}};
}

void HostsStandin::drain(const std::string &name, Host &host)
{
    host.fencedEpoch = host.epoch;
    if (host.admittedEpoch != 0) {
        host.admittedEpoch = 0;
        recordEvent(name, true);
    }
    if (host.running == 0 || host.workEndTimer)
        return;
    host.workEndTimer = std::make_unique<Timer>(m_daemon.loop(), [this, name] {
        Host &ended = m_hosts.at(name);
        if (contains(m_faults.neverDrain, name)) {
            ended.workEndTimer->startAt(BootClock::now() + SnapshotInterval);
            return;
        }
        ended.running = 0;
    });
    host.workEndTimer->startAt(BootClock::now()
                               + std::chrono::milliseconds(m_settings.endMilliseconds));
}

void HostsStandin::maintain(const std::string &name, Host &host)
{
    if (host.rebootEpoch != 0 || host.maintainedEpoch == host.epoch)
        return;
    host.rebootEpoch = host.epoch;
    m_record["reboots"] = m_record["reboots"].get<int>() + 1;
    if (host.running > 0 || host.admittedEpoch != 0)
        m_record["disturbed"] = m_record["disturbed"].get<int>() + 1;
    host.rebootEndTimer = std::make_unique<Timer>(m_daemon.loop(), [this, name] {
        Host &rebooted = m_hosts.at(name);
        rebooted.maintainedEpoch = rebooted.rebootEpoch;
        rebooted.rebootEpoch = 0;
    });
    host.rebootEndTimer->startAt(BootClock::now()
                                 + std::chrono::milliseconds(m_settings.rebootMilliseconds));
}

void HostsStandin::admit(const std::string &name, Host &host, const std::string &pool)
{
    if (host.rebootEpoch != 0)
        return;
    const bool wasOut = host.admittedEpoch == 0;
    host.admittedEpoch = host.epoch;
    host.pool = pool;
    host.running = TasksPerHost;
    host.workEndTimer.reset();
    if (wasOut)
        recordEvent(name, false);
}

void HostsStandin::applyFaults(const Faults &faults)
{
    m_faults = faults;
    for (auto &[name, host] : m_hosts) {
        const bool isDead = contains(faults.dead, name);
        if (isDead == host.isDead)
            continue;
        if (isDead && host.admittedEpoch != 0)
            recordEvent(name, true);
        host = Host{.pool = host.pool, .isDead = isDead};
    }
}

void HostsStandin::takeSnapshot()
{
    const TimePoint now = BootClock::now();
    m_snapshots.push_back(
        {now + std::chrono::milliseconds(m_settings.lagMilliseconds), snapshot()});
    m_snapshotTimer.startAt(now + SnapshotInterval);
    list({});
}

nlohmann::json HostsStandin::snapshot() const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto &[name, host] : m_hosts) {
        if (!host.isDead) {
            hosts.push_back(
                {{"host", name}, {"state", "live"}, {"admittedEpoch", host.admittedEpoch}});
        }
    }
    return hosts;
}

void HostsStandin::recordEvent(const std::string &host, bool isOut)
{
    m_record["events"].push_back(
        {{"host", host},
         {"isOut", isOut},
         {"isDead", contains(m_faults.dead, host)},
         {"atMs", BootClock::now().time_since_epoch() / std::chrono::milliseconds(1)},
         {"pool", m_hosts.at(host).pool}});
}

} // namespace sequoiapier
