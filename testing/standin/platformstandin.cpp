#include "testing/standin/platformstandin.h"

#include "platform/base64.h"
#include "platform/jsonfields.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace sequoiapier {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(5);
constexpr Duration HeartbeatInterval = milliseconds(300);
constexpr std::size_t MaxRowBytes = 65'536;
constexpr int StatusMalformed = 400;
constexpr int StatusConflict = 409;

StoreKey keyOf(const json &entry)
{
    return {textField(entry, "table").value_or(""), textField(entry, "part").value_or(""),
            textField(entry, "key").value_or("")};
}

json rowOf(const StoreRow &row)
{
    json entry{{"table", row.key.table},
               {"part", row.key.part},
               {"key", row.key.key},
               {"ver", row.version}};
    if (row.isRemoved)
        entry["deleted"] = true;
    else
        entry["value"] = encodeBase64(row.value);
    return entry;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            int value = 0;
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
            result += char(value);
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const HttpRequest &request)
{
    std::map<std::string, std::string> fields;
    std::istringstream parts(request.query);
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            fields[part.substr(0, equals)] = decoded(part.substr(equals + 1));
    }
    return fields;
}

void answer(const std::shared_ptr<HttpExchange> &exchange, int status, const json &body)
{
    exchange->reply(
        {.status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump()});
}

std::string_view reasonOf(jobs::StartOutcome outcome)
{
    switch (outcome) {
    case jobs::StartOutcome::Fenced:
        return "fence";
    case jobs::StartOutcome::OldRun:
        return "old";
    case jobs::StartOutcome::Late:
        return "late";
    default:
        return "room";
    }
}

std::string_view stateText(FleetHostState state)
{
    switch (state) {
    case FleetHostState::Up:
        return "up";
    case FleetHostState::Moving:
        return "moving";
    case FleetHostState::Maintenance:
        return "upkeep";
    default:
        return "down";
    }
}

json reportOf(const jobs::RunnerReport &report)
{
    json body{{"clock_ms", report.clock}, {"born", report.bornAt}};
    body["running"] = json::array();
    body["ended"] = json::array();
    for (const jobs::RunReport &run : report.running) {
        body["running"].push_back(
            json::array({toString(run.task), run.run, run.checkpoint, run.percent, 0}));
    }
    for (const jobs::RunEnd &end : report.ends) {
        body["ended"].push_back(json::array(
            {end.number, toString(end.task), end.run, toString(end.kind), end.checkpoint}));
    }
    return body;
}

} // namespace

PlatformStandin::PlatformStandin(Daemon &daemon, const PlatformStandinSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_timer(daemon.loop(), [this] { tick(); })
{
    addRoutes();
    addLinks();
    addAdviceRoutes();
    addHosts(settings.pools);
    tick();
}

PlatformStandin::~PlatformStandin() = default;

void PlatformStandin::addRoutes()
{
    const auto route = [this](const char *path, auto handler) {
        m_daemon.route(path, [this, handler](const ExchangePtr &e) { (this->*handler)(e); });
    };
    route("/v1/rows-tx", &PlatformStandin::commit);
    route("/v1/rows-get", &PlatformStandin::readRows);
    route("/v1/rows-feed", &PlatformStandin::watch);
    route("/v1/machines", &PlatformStandin::listHosts);
    route("/operator", &PlatformStandin::serveOperator);
    route("/entry", &PlatformStandin::writeEntry);
    route("/record", &PlatformStandin::serveRecord);
    route("/faults", &PlatformStandin::replaceFaults);
    route("/crash", &PlatformStandin::crash);
    route("/drain", &PlatformStandin::drain);
    m_daemon.route("/v1/machine-move", [this](const ExchangePtr &e) { orderHost(e, true); });
    m_daemon.route("/v1/machine-upkeep", [this](const ExchangePtr &e) { orderHost(e, false); });
}

void PlatformStandin::addLinks()
{
    std::istringstream links(m_settings.links);
    std::string link;
    while (std::getline(links, link, ',')) {
        const std::size_t equals = link.find('=');
        const std::string node = link.substr(0, equals);
        const HttpServer::Options options{.address = m_daemon.settings().address,
                                          .port
                                          = std::uint16_t(std::stoi(link.substr(equals + 1)))};
        m_links.push_back(std::make_unique<HttpServer>(
            m_daemon.loop(), options,
            [this, node](const ExchangePtr &exchange) { serveLink(node, exchange); }));
    }
}

void PlatformStandin::addAdviceRoutes()
{
    m_daemon.route("/v1/advise", [this](const ExchangePtr &e) { m_advice.serve({}, e); });
    m_daemon.route("/advice", [this](const ExchangePtr &exchange) {
        m_advice.configure(parseBody(exchange->request().body));
        exchange->reply({});
    });
}

void PlatformStandin::serveLink(const std::string &node, const ExchangePtr &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/v1/advise") {
        m_advice.serve(node, exchange);
        return;
    }
    if (applyStoreFaults(exchange, node))
        return;
    if (path == "/v1/rows-tx")
        commit(exchange);
    else if (path == "/v1/rows-get")
        readRows(exchange);
    else if (path == "/v1/rows-feed")
        watchOn(exchange, node);
    else if (path == "/v1/machines")
        listHosts(exchange);
    else if (path == "/v1/machine-move" || path == "/v1/machine-upkeep")
        orderHost(exchange, path == "/v1/machine-move");
    else
        exchange->reply({.status = 404});
}

void PlatformStandin::addHosts(const std::string &pools)
{
    std::istringstream ports(m_settings.runnerPorts);
    std::istringstream parts(pools);
    std::string part;
    std::string port;
    while (std::getline(parts, part, ',')) {
        const std::size_t colon = part.find(':');
        for (int i = 0; i < std::stoi(part.substr(colon + 1)); ++i) {
            auto host = std::make_unique<Host>();
            const std::size_t index = m_hosts.size();
            host->fleet = {.name = "m-" + std::to_string(index),
                           .pool = part.substr(0, colon),
                           .state = FleetHostState::Up,
                           .zone = "zone-1",
                           .rack = "r" + std::to_string(index / 2)};
            std::getline(ports, port, ',');
            host->port = std::uint16_t(std::stoi(port));
            HttpServer::Options options{.address = m_daemon.settings().address,
                                        .port = host->port,
                                        .keptHeaders = {"expect-instance"}};
            host->server = std::make_unique<HttpServer>(
                m_daemon.loop(), options,
                [this, index](const ExchangePtr &exchange) { serveRunner(index, exchange); });
            m_hosts.push_back(std::move(host));
            startIncarnation(index);
        }
    }
}

void PlatformStandin::startIncarnation(std::size_t index)
{
    Host &host = *m_hosts[index];
    const std::string id = "i-" + std::to_string(index)
        + (host.incarnations > 0 ? "-" + std::to_string(host.incarnations) : std::string());
    ++host.incarnations;
    host.runner = std::make_unique<SimulatedRunner>(id, m_ledger, BootClock::now());
    host.fleet.runner = id;
    host.fleet.state = FleetHostState::Up;
    writeHeartbeat(host);
}

void PlatformStandin::writeHeartbeat(const Host &host)
{
    if (m_faults.hiddenRunners.contains(host.fleet.runner))
        return;
    const json heartbeat{
        {"service", host.fleet.pool},
        {"addr", m_daemon.settings().address + ":" + std::to_string(host.port)},
        {"zone", host.fleet.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", host.isDraining ? "draining" : "ready"},
        {"cold_remaining_ms", 0},
        {"machine", host.fleet.name},
        {"capacity", {{"cpu", m_settings.processors * 1'000}, {"mem_mb", 262'144}, {"gpu", 0}}},
        {"labels", {"a", host.fleet.rack}},
        {"born", host.runner->bornAt()},
        {"sequence", m_heartbeatCount}};
    m_rows.apply({.writes = {{{.table = "servers", .key = host.fleet.runner}, heartbeat.dump()}}});
}

void PlatformStandin::tick()
{
    const TimePoint now = BootClock::now();
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host &host = *m_hosts[i];
        if (host.runner)
            host.runner->advance(now);
        if (!host.runner && now >= host.availableAt) {
            if (!host.nextPool.empty())
                host.fleet.pool = std::exchange(host.nextPool, {});
            startIncarnation(i);
        }
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        ++m_heartbeatCount;
        for (const auto &host : m_hosts) {
            if (host->runner)
                writeHeartbeat(*host);
        }
    }
    leaveUnanswered([&](const Renewal &renewal) {
        const Host &host = *m_hosts[renewal.host];
        return host.runner && isCut(host.runner->id(), renewal.body);
    });
    std::erase_if(m_renewals, [&](const Renewal &renewal) {
        return !renewal.exchange->isOpen() || answerRenewal(renewal, now >= renewal.deadline);
    });
    answerWatches();
    m_advice.advance(now);
    m_timer.startAt(now + TickInterval);
}

// Drops the waiting renewals for which `isLost` returns true.
void PlatformStandin::leaveUnanswered(const std::function<bool(const Renewal &renewal)> &isLost)
{
    std::erase_if(m_renewals, [&](const Renewal &renewal) {
        const bool isDropped = isLost(renewal);
        if (isDropped)
            m_unanswered.push_back(renewal.exchange);
        return isDropped;
    });
}

bool PlatformStandin::applyStoreFaults(const ExchangePtr &exchange, const std::string &node)
{
    const bool isSilent = m_faults.storeSilent || m_faults.cutNodes.contains(node);
    const bool isRejected = m_faults.storeDown || m_faults.rejectedNodes.contains(node);
    if (isSilent)
        m_unanswered.push_back(exchange);
    else if (isRejected)
        exchange->reply({.status = 503});
    return isSilent || isRejected;
}

void PlatformStandin::commit(const ExchangePtr &exchange)
{
    if (applyStoreFaults(exchange))
        return;
    const json body = parseBody(exchange->request().body);
    StoreTransaction transaction;
    for (const json &entry : listField(body, "expect_rev")) {
        transaction.expected.push_back(
            {keyOf(entry), std::uint64_t(numberField(entry, "ver").value_or(0))});
    }
    for (const json &entry : listField(body, "writes"))
        transaction.writes.push_back(
            {keyOf(entry), decodeBase64(textField(entry, "value").value_or(""))});
    for (const json &entry : listField(body, "remove"))
        transaction.writes.push_back({keyOf(entry), std::nullopt});
    const auto isRefused = [&](const StoreWrite &write) {
        const bool isTooLarge = write.value && write.value->size() > MaxRowBytes;
        return isTooLarge || m_faults.refusedKeys.contains(write.key.key);
    };
    if (std::any_of(transaction.writes.begin(), transaction.writes.end(), isRefused)) {
        answer(exchange, StatusMalformed, {{"error", "a row is too large"}});
        return;
    }
    const auto conflicts = m_rows.apply(transaction);
    if (m_faults.lostCommits > 0) {
        --m_faults.lostCommits;
        m_unanswered.push_back(exchange);
        return;
    }
    if (!conflicts) {
        answer(exchange, 200, {{"ver", m_rows.version()}, {"now_ms", 0}});
        return;
    }
    json rows = json::array();
    for (const StoreRow &row : *conflicts) {
        if (row.version > 0)
            rows.push_back(rowOf(row));
    }
    answer(exchange, 412, {{"rows", rows}, {"ver", m_rows.version()}, {"now_ms", 0}});
}

void PlatformStandin::readRows(const ExchangePtr &exchange)
{
    if (applyStoreFaults(exchange))
        return;
    std::map<std::string, std::string> query = queryOf(exchange->request());
    if (m_faults.listDown && query["table"] == "servers") {
        exchange->reply({.status = 429});
        return;
    }
    json rows = json::array();
    for (const StoreRow &row :
         m_rows.read({query["table"], query["part"], query["from"], query["to"]})) {
        rows.push_back(rowOf(row));
    }
    answer(exchange, 200,
           {{"rows", rows}, {"has_more", false}, {"ver", m_rows.version()}, {"now_ms", 0}});
}

void PlatformStandin::watchOn(const ExchangePtr &exchange, const std::string &node)
{
    if (applyStoreFaults(exchange))
        return;
    std::map<std::string, std::string> query = queryOf(exchange->request());
    const auto wait = milliseconds(std::stoll("0" + query["wait_ms"]));
    const Watch watch{.exchange = exchange,
                      .node = node,
                      .table = query["table"],
                      .after = std::stoull("0" + query["after"]),
                      .deadline = BootClock::now() + wait};
    if (!answerWatch(watch, false))
        m_watches.push_back(watch);
}

bool PlatformStandin::answerWatch(const Watch &watch, bool isDue)
{
    json rows = json::array();
    for (const StoreRow &row : m_rows.changedAfter(watch.table, watch.after))
        rows.push_back(rowOf(row));
    if (rows.empty() && !isDue)
        return false;
    answer(watch.exchange, 200, {{"rows", rows}, {"ver", m_rows.version()}, {"now_ms", 0}});
    return true;
}

void PlatformStandin::answerWatches()
{
    const TimePoint now = BootClock::now();
    std::erase_if(m_watches, [&](const Watch &watch) {
        if (!watch.exchange->isOpen())
            return true;
        return applyStoreFaults(watch.exchange, watch.node)
            || answerWatch(watch, now >= watch.deadline);
    });
}

void PlatformStandin::serveRunner(std::size_t index, const ExchangePtr &exchange)
{
    Host &host = *m_hosts[index];
    const HttpRequest &request = exchange->request();
    const json body = parseBody(request.body);
    if (!host.runner || isCut(host.runner->id(), body)) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (headerValue(request.headers, "expect-instance") != host.runner->id()) {
        exchange->reply({.status = 421});
        return;
    }
    if (request.path == "/v1/run-start")
        startRun(host, exchange, body);
    else if (request.path == "/v1/run-stop")
        stopRun(host, exchange, body);
    else if (request.path == "/v1/hold")
        renew(index, exchange, body);
    else
        exchange->reply({.status = 404});
}

// Returns whether the link between the runner and the owner that makes the call is cut. The fence
// tells which owner that is.
bool PlatformStandin::isCut(const std::string &runner, const json &call) const
{
    if (m_faults.silentRunners.contains(runner))
        return true;
    const auto fence = std::uint64_t(numberField(call, "fence").value_or(0));
    const auto deaf = m_faults.deafRunners.find(runner);
    const auto lowest = m_faults.lowestFences.find(runner);
    return (deaf != m_faults.deafRunners.end() && fence >= deaf->second)
        || (lowest != m_faults.lowestFences.end() && fence < lowest->second);
}

void PlatformStandin::startRun(Host &host, const ExchangePtr &exchange, const json &body)
{
    const auto task = jobs::parseTaskName(textField(body, "task").value_or(""));
    if (!task) {
        exchange->reply({.status = 400});
        return;
    }
    const TimePoint now = BootClock::now();
    const std::string ticket = textField(body, "ticket").value_or("");
    if (!m_advice.isValid(jobs::stepName(task.value()), host.runner->id(), ticket, now)) {
        answer(exchange, StatusConflict,
               {{"clock_ms", host.runner->clock(now)}, {"reason", "ticket"}});
        return;
    }
    const jobs::StartOutcome outcome
        = host.runner->start({.task = task.value(),
                              .run = std::uint64_t(numberField(body, "run_id").value_or(0)),
                              .payload = textField(body, "spec").value_or(""),
                              .checkpoint = textField(body, "checkpoint").value_or(""),
                              .fence = std::uint64_t(numberField(body, "fence").value_or(0)),
                              .until = numberField(body, "until_ms").value_or(0)},
                             now);
    if (m_faults.lostStarts > 0) {
        --m_faults.lostStarts;
        m_unanswered.push_back(exchange);
        return;
    }
    json reply{{"clock_ms", host.runner->clock(now)}};
    if (outcome != jobs::StartOutcome::Started)
        reply["reason"] = reasonOf(outcome);
    answer(exchange, outcome == jobs::StartOutcome::Started ? 200 : 409, reply);
}

void PlatformStandin::stopRun(Host &host, const ExchangePtr &exchange, const json &body)
{
    const auto task = jobs::parseTaskName(textField(body, "task").value_or(""));
    const TimePoint now = BootClock::now();
    const bool isStopped = task
        && host.runner->stop(task.value(), std::uint64_t(numberField(body, "run_id").value_or(0)),
                             std::uint64_t(numberField(body, "fence").value_or(0)), now);
    json reply{{"clock_ms", host.runner->clock(now)}};
    if (!isStopped)
        reply["reason"] = "fence";
    answer(exchange, isStopped ? 200 : 409, reply);
}

void PlatformStandin::renew(std::size_t host, const ExchangePtr &exchange, const json &body)
{
    const auto wait = milliseconds(numberField(body, "wait_ms").value_or(0));
    const Renewal renewal{exchange, host, body, BootClock::now() + wait};
    // The lease is renewed at once, even if the answer is deferred.
    if (!answerRenewal(renewal, wait.count() == 0))
        m_renewals.push_back(renewal);
}

bool PlatformStandin::answerRenewal(const Renewal &renewal, bool isDue)
{
    Host &host = *m_hosts[renewal.host];
    if (!host.runner) {
        m_unanswered.push_back(renewal.exchange);
        return true;
    }
    const auto seen = std::uint64_t(numberField(renewal.body, "last_seen").value_or(0));
    const auto report
        = host.runner->renew(std::uint64_t(numberField(renewal.body, "fence").value_or(0)), seen,
                             numberField(renewal.body, "until_ms").value_or(0), BootClock::now());
    if (!report) {
        answer(renewal.exchange, 409, {{"clock_ms", 0}, {"reason", "fence"}});
        return true;
    }
    if (!isDue && !host.runner->hasEndsAfter(seen))
        return false;
    answer(renewal.exchange, 200, reportOf(*report));
    return true;
}

void PlatformStandin::listHosts(const ExchangePtr &exchange)
{
    json machines = json::array();
    for (const auto &host : m_hosts) {
        machines.push_back({{"machine", host->fleet.name},
                            {"pool", host->fleet.pool},
                            {"state", stateText(host->fleet.state)},
                            {"zone", host->fleet.zone},
                            {"labels", {"a", host->fleet.rack}},
                            {"id", host->runner ? host->fleet.runner : ""}});
    }
    answer(exchange, 200, {{"machines", machines}, {"next_token", nullptr}});
}

void PlatformStandin::orderHost(const ExchangePtr &exchange, bool isMove)
{
    const json body = parseBody(exchange->request().body);
    const std::string name = textField(body, "machine").value_or("");
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [&](const auto &h) { return h->fleet.name == name; });
    if (found == m_hosts.end() || m_faults.ordersRefused) {
        exchange->reply({.status = m_faults.ordersRefused ? 429 : 400});
        return;
    }
    Host &host = **found;
    const auto wave = std::uint64_t(numberField(body, "wave").value_or(0));
    const std::string pool = textField(body, "pool").value_or("");
    const bool isDone = isMove ? host.fleet.pool == pool : host.maintenanceWaves.contains(wave);
    if (isDone || host.fleet.state != FleetHostState::Up) {
        answer(exchange, isDone ? 200 : 409, isDone ? json::object() : json{{"reason", "busy"}});
        return;
    }
    host.runner->crash(BootClock::now());
    m_rows.apply({.writes = {{{.table = "servers", .key = host.fleet.runner}, std::nullopt}}});
    host.runner.reset();
    host.availableAt = BootClock::now() + milliseconds(m_settings.moveMilliseconds);
    host.fleet.state = isMove ? FleetHostState::Moving : FleetHostState::Maintenance;
    if (isMove)
        host.nextPool = pool;
    else
        host.maintenanceWaves.insert(wave);
    answer(exchange, 200, json::object());
}

void PlatformStandin::serveOperator(const ExchangePtr &exchange)
{
    const json body = parseBody(exchange->request().body);
    const auto key = textField(body, "key");
    if (!key || !body.contains("value")) {
        exchange->reply({.status = 400});
        return;
    }
    m_rows.apply({.writes = {{{.table = "op", .key = *key}, body["value"].dump()}}});
    answer(exchange, 200, {{"ver", m_rows.version()}});
}

void PlatformStandin::writeEntry(const ExchangePtr &exchange)
{
    const json body = parseBody(exchange->request().body);
    const std::string key = textField(body, "key").value_or("");
    m_rows.apply({.writes = {{{.table = "servers", .key = key}, textField(body, "text")}}});
    exchange->reply({});
}

void PlatformStandin::serveRecord(const ExchangePtr &exchange) const
{
    json runs = json::array();
    for (const RecordedRun &run : m_ledger.runs()) {
        runs.push_back({{"task", toString(run.task)},
                        {"job", run.task.job},
                        {"run", run.run},
                        {"runner", run.runner},
                        {"checkpoint", run.checkpoint},
                        {"how", run.outcome}});
    }
    json statuses = json::object();
    for (const StoreRow &row : m_rows.read({.table = "status"}))
        statuses[row.key.key] = parseBody(row.value);
    json hosts = json::object();
    for (const auto &host : m_hosts)
        hosts[host->fleet.name] = {{"pool", host->fleet.pool}, {"waves", host->maintenanceWaves}};
    answer(exchange, 200,
           {{"runs", runs},
            {"breaches", m_ledger.violations()},
            {"advice", m_advice.record()},
            {"statuses", statuses},
            {"hosts", hosts}});
}

void PlatformStandin::replaceFaults(const ExchangePtr &exchange)
{
    const json body = parseBody(exchange->request().body);
    m_faults = {.storeDown = flagField(body, "storeDown"),
                .storeSilent = flagField(body, "storeSilent"),
                .listDown = flagField(body, "listDown"),
                .ordersRefused = flagField(body, "ordersRefused"),
                .lostCommits = int(numberField(body, "lostCommits").value_or(0)),
                .lostStarts = int(numberField(body, "lostStarts").value_or(0))};
    const auto readNames = [&](const char *field, std::set<std::string> &names) {
        for (const json &name : listField(body, field))
            names.insert(name.get<std::string>());
    };
    readNames("silentRunners", m_faults.silentRunners);
    readNames("hangingRunners", m_faults.hangingRunners);
    readNames("hiddenRunners", m_faults.hiddenRunners);
    readNames("cutNodes", m_faults.cutNodes);
    readNames("rejectedNodes", m_faults.rejectedNodes);
    readNames("refusedKeys", m_faults.refusedKeys);
    if (body.contains("deafRunners"))
        body["deafRunners"].get_to(m_faults.deafRunners);
    if (body.contains("lowestFences"))
        body["lowestFences"].get_to(m_faults.lowestFences);
    for (const auto &host : m_hosts) {
        if (host->runner) {
            host->runner->setHanging(m_faults.hangingRunners.contains(host->runner->id()),
                                     BootClock::now());
        }
    }
    for (const std::string &runner : m_faults.hiddenRunners)
        m_rows.apply({.writes = {{{.table = "servers", .key = runner}, std::nullopt}}});
    exchange->reply({});
}

// The host of the runner that the request names, or nullptr if there is none.
PlatformStandin::Host *PlatformStandin::findRunner(const ExchangePtr &exchange)
{
    const std::string id = textField(parseBody(exchange->request().body), "runner").value_or("");
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto &host) {
        return host->runner && host->runner->id() == id;
    });
    return found != m_hosts.end() ? found->get() : nullptr;
}

void PlatformStandin::crash(const ExchangePtr &exchange)
{
    if (Host *host = findRunner(exchange)) {
        leaveUnanswered(
            [&](const Renewal &renewal) { return m_hosts[renewal.host].get() == host; });
        host->runner->crash(BootClock::now());
        writeHeartbeat(*host);
    }
    exchange->reply({});
}

void PlatformStandin::drain(const ExchangePtr &exchange)
{
    if (Host *host = findRunner(exchange)) {
        host->isDraining = true;
        writeHeartbeat(*host);
    }
    exchange->reply({});
}

} // namespace sequoiapier
