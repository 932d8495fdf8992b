#include "node/node.h"

#include "gen/NodeService.h"
#include "node/carrierchoice.h"
#include "sequoiapier/memberrow.h"
#include "sequoiapier/rendezvous.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr const char *PeerPath = "/node";
constexpr std::string_view PoolResourcePrefix = "pool/";
// Sorts before the pools by name and is handed over last, since its next owner waits before its
// first order.
constexpr std::string_view FleetResource = "fleet";
constexpr std::string_view RoleName = "node";

// Time between checks for due renewals and scans.
constexpr Duration TickInterval = milliseconds(100);
constexpr Duration JoinRetry = milliseconds(300);
constexpr Duration JoinTimeout = milliseconds(800);
constexpr Duration PeerTimeout = milliseconds(800);
// The balancer stops sending requests after two missed checks, a second each.
constexpr Duration CloseDelay = milliseconds(2'300);
// A drained node ends after this time without a request.
constexpr Duration QuietTime = milliseconds(300);
// Reserved at the end of the platform's grace period.
constexpr Duration GraceMargin = milliseconds(800);
// Part of GraceMargin that is left for requests accepted until then.
constexpr Duration FinalAnswersTime = milliseconds(250);
constexpr Duration AnswerMargin = milliseconds(300); // time for answers in transit at the end
constexpr std::size_t MaxCallerBodyBytes = 512 * 1024;
constexpr std::size_t MaxReadinessBodyBytes = 1024;

// A pool changes its owner when the old owner's row has not changed for the term. One lost answer
// to a renewal does not exhaust the term.
constexpr Duration OwnershipTerm = milliseconds(1'500);
constexpr Duration RenewInterval = milliseconds(450);
constexpr Duration ScanInterval = milliseconds(400);
constexpr Duration CoordinationTimeout = milliseconds(600);

std::string poolResource(const std::string &pool)
{
    return std::string(PoolResourcePrefix) + pool;
}

HttpServer::Options callerOptions(const NodeSettings &settings, const ClientLimits &limits,
                                  ClientBudget &budget)
{
    return {.address = settings.callers.address,
            .port = settings.callers.port,
            .maxBodyBytes = MaxCallerBodyBytes,
            .maxConnections = std::size_t(limits.connections),
            // libwebsockets closes a connection only after the budget would.
            .readTimeoutSeconds = unsigned(limits.headerMilliseconds / 1'000) + 1,
            .keptHeaders = callerHeaders(),
            .budget = &budget};
}

// Clients that hold all connections of this server must not keep out the load balancer's checks,
// which send a short request at once.
HttpServer::Options readinessOptions(const NodeSettings &settings, const ClientLimits &limits,
                                     ClientBudget &budget)
{
    return {.address = settings.readiness.address,
            .port = settings.readiness.port,
            .maxBodyBytes = MaxReadinessBodyBytes,
            .maxConnections = std::size_t(limits.readinessConnections),
            .readTimeoutSeconds = unsigned(limits.headerMilliseconds / 1'000) + 1,
            .budget = &budget,
            .isOldestReplaced = true};
}

} // namespace

Node::Node(Daemon &daemon, NodeSettings settings, const FleetWeights &weights,
           const ClientLimits &limits)
    : m_daemon(daemon)
    , m_settings(std::move(settings))
    , m_log(daemon.logger(), {})
    , m_store(daemon.httpClient(), m_settings.store)
    , m_coordination(m_store)
    , m_rpc(daemon.httpClient())
    , m_carrierTimer(daemon.loop(), [this] { m_carriers.onWake(); })
    , m_carriers({.direct =
                      [this](HttpCall call, HttpCallback callback) {
                          m_daemon.httpClient().call(std::move(call), std::move(callback));
                      },
                  .send =
                      [this](const Endpoint &endpoint, const api::CarryCall &message,
                             TimePoint deadline, const CarrierClient::SendCallback &callback) {
                          sendToCarrier(endpoint, message, deadline, callback);
                      },
                  .now = BootClock::now,
                  .wakeAt = [this](TimePoint due) { m_carrierTimer.startAt(due); },
                  .onFailed =
                      [this](const std::string &carrier, std::string_view why) {
                          m_log.info("carrier.failed",
                                     {{"carrier", carrier}, {"detail", std::string(why)}});
                      }})
    , m_runnerCarrier(daemon.loop(), daemon.httpClient())
    , m_runners([this](HttpCall call, HttpCallback callback) {
        m_carriers.call(std::move(call), std::move(callback));
    })
    , m_fleet(daemon.httpClient(), m_settings.fleet)
    , m_operators(daemon.loop(), m_store, m_log, m_settings.revocation,
                  {.onConfiguration = [this] { onConfiguration(); },
                   .onWaves =
                       [this] {
                           if (m_fleetOwner)
                               m_fleetOwner->setWaves(m_operators.waves());
                       }})
    , m_runnerWatch(
          daemon.loop(), m_store, m_log,
          [this](std::span<const jobs::RunnerEntry> runners) {
              for (const auto &[name, pool] : m_pools)
                  pool->setRunners(runners);
          },
          [this] {
              return std::any_of(m_pools.begin(), m_pools.end(),
                                 [](const auto &pool) { return pool.second->hasShortage(); });
          },
          m_settings.drainNotice)
    , m_relay(
          daemon.loop(),
          {.findOwner =
               [this](const std::string &pool) {
                   const std::optional<Endpoint> owner = findOwner(pool);
                   if (!owner && m_ownership)
                       m_ownership->refresh();
                   return owner;
               },
           .findPool =
               [this](const std::string &queue) {
                   const QueueConfig *config = m_operators.configuration().findQueue(queue);
                   return config != nullptr ? config->service : std::string();
               },
           .handleLocally
           = [this](const api::JobCall &call,
                    const JobRelay::ReplyCallback &answer) { handleLocally(call, answer); },
           .send
           = [this](const Endpoint &endpoint, const api::JobCall &call, TimePoint deadline,
                    const JobRelay::SendCallback &sent) { send(endpoint, call, deadline, sent); }})
    , m_ingress(m_relay, m_operators, m_log, daemon.metrics())
    , m_adviceClient(daemon.httpClient(), m_settings.advice)
    , m_advice(daemon.loop(), m_adviceClient, m_log, daemon.metrics())
    , m_poolMetrics(daemon.metrics())
    , m_poolContext{
          .loop = daemon.loop(),
          .store = m_store,
          .runners = m_runners,
          .advice = m_advice,
          .log = m_log,
          .poolMetrics = m_poolMetrics,
          .settings = m_settings,
          .ownedUntil = [this] { return m_ownership ? m_ownership->ownedUntil() : TimePoint(); },
          .hasEnded
          = [this](const MemberId &member) { return m_ownership && m_ownership->hasEnded(member); },
          .onDeposed = [this](const std::string &pool) { release(poolResource(pool)); },
          .configuration
          = [this]() -> const Configuration & { return m_operators.configuration(); }}
    , m_fleetContext{.loop = daemon.loop(),
                     .store = m_store,
                     .fleet = m_fleet,
                     .log = m_log,
                     .settings = m_settings,
                     .weights = weights,
                     .isOwner = [this] { return isOwner(); },
                     .configuration
                     = [this]() -> const Configuration & { return m_operators.configuration(); },
                     .evacuate = [this](const api::EvacuationCall &call,
                                        const auto &callback) { evacuate(call, callback); },
                     .demand = [this](const api::DemandCall &call,
                                      const auto &callback) { demand(call, callback); }}
    , m_clientBudget(limits.budgetOptions())
    , m_callers(
          daemon.loop(), callerOptions(m_settings, limits, m_clientBudget),
          [this](const std::shared_ptr<HttpExchange> &exchange) { m_ingress.serve(exchange); })
    , m_readiness(
          daemon.loop(), readinessOptions(m_settings, limits, m_clientBudget),
          [this](const std::shared_ptr<HttpExchange> &exchange) { serveReadiness(exchange); })
    , m_clientLimitReport(daemon, m_clientBudget)
    , m_tickTimer(daemon.loop(), [this] { tick(); })
    , m_joinTimer(daemon.loop(), [this] { join(); })
    , m_closeTimer(daemon.loop(), [this] { closeCallers(); })
    , m_callersShutdown(daemon.loop(), m_callers)
{
    m_ingress.setJsonLimit(std::size_t(limits.jsonValues),
                           [this] { m_clientBudget.count(ClientLimit::JsonValues); });
    addPeerMethods();
    daemon.route(PeerPath, [this](const std::shared_ptr<HttpExchange> &exchange) {
        m_peerMethods.serve(exchange);
    });
    daemon.onDrain([this](std::function<void()> done) { drain(std::move(done)); });
}

Node::~Node() = default;

void Node::start()
{
    m_operators.start();
    join();
}

// The incarnation distinguishes this process from earlier ones of the same name.
void Node::join()
{
    const std::string key = std::string(MemberPrefix) + m_settings.name;
    m_coordination.hooks().read(key, BootClock::now() + JoinTimeout,
                                [this](const Result<std::optional<TableRow>> &row) {
                                    if (row)
                                        onMemberRow(row.value());
                                    else
                                        m_joinTimer.startAt(BootClock::now() + JoinRetry);
                                });
}

void Node::onMemberRow(const std::optional<TableRow> &row)
{
    const MemberRow self{.name = m_settings.name,
                         .role = std::string(RoleName),
                         .zone = m_settings.zone,
                         .address = m_settings.callers.address,
                         .port = m_settings.peerPort};
    const MemberRegistration next = registerMember(self, row);
    m_coordination.hooks().commit({.writeId = "join/" + m_settings.name, .writes = {next.write}},
                                  BootClock::now() + JoinTimeout,
                                  [this, next](const CommitAnswer &answer) {
                                      if (answer.outcome == CommitOutcome::Committed)
                                          beginOwnership(next.incarnation);
                                      else
                                          m_joinTimer.startAt(BootClock::now() + JoinRetry);
                                  });
}

void Node::beginOwnership(std::uint64_t incarnation)
{
    m_log.info("node.joined", {{"incarnation", std::to_string(incarnation)}});
    const Endpoint peer{m_settings.callers.address, m_settings.peerPort};
    m_ownership.emplace(
        Ownership::Options{.self = {m_settings.name, incarnation},
                           .zone = m_settings.zone,
                           .address = toString(peer),
                           .term = OwnershipTerm,
                           .renewInterval = RenewInterval,
                           .scanInterval = ScanInterval,
                           .tableTimeout = CoordinationTimeout,
                           .isSticky = true,
                           .capacity = m_settings.processors},
        m_coordination.hooks(),
        Ownership::Hooks{.now = BootClock::now,
                         .onAcquired = [this](const OwnedResource &resource) { acquire(resource); },
                         .onLost = [this](const std::string &resource) { release(resource); }});
    if (m_operators.hasConfiguration())
        onConfiguration();
    if (m_isDraining)
        m_ownership->leave();
    tick();
}

void Node::tick()
{
    m_deposed.clear();
    m_daemon.setReady(isReady());
    m_ownership->tick();
    updateCarriers();
    m_tickTimer.startAt(BootClock::now() + TickInterval);
}

// Owners of pools are no carriers, since their own pools take their processor.
void Node::updateCarriers()
{
    m_poolMetrics.setCarriedCalls(m_carriers.carriedCount());
    m_mostRunners = m_pools.empty() ? 0 : std::max(m_mostRunners, m_runnerWatch.runners().size());
    const std::size_t count = carrierCount(m_mostRunners);
    if (count == 0 && m_carrierNames.empty())
        return;
    const TimePoint now = BootClock::now();
    std::vector<CarrierCandidate> candidates;
    std::map<std::string, CarrierClient::Carrier> byName;
    for (const auto &[member, entry] : m_ownership->members().entries()) {
        const Result<Endpoint> endpoint = parseEndpoint(entry.row.address);
        if (member == m_ownership->self() || entry.row.isLeaving || !endpoint
            || m_ownership->ownsAny(member) || !m_ownership->members().isAlive(member, now)) {
            continue;
        }
        candidates.push_back({member.name, entry.row.capacity});
        byName[member.name] = {member.name, endpoint.value()};
    }
    const std::vector<std::string> names = chooseCarriers(m_settings.name, candidates, count);
    std::vector<CarrierClient::Carrier> carriers;
    carriers.reserve(names.size());
    for (const std::string &name : names)
        carriers.push_back(byName[name]);
    m_carriers.setCarriers(toString(m_ownership->self()), carriers);
    if (names == m_carrierNames)
        return;
    m_carrierNames = names;
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ",") + name;
    m_log.info("carriers.chosen", {{"runners", std::to_string(m_mostRunners)}, {"carriers", text}});
}

void Node::sendToCarrier(const Endpoint &endpoint, const api::CarryCall &message,
                         TimePoint deadline, const CarrierClient::SendCallback &callback)
{
    api::NodeService_carry_args args;
    args.call = message;
    m_rpc.call<api::NodeService_carry_args, api::NodeService_carry_result>(
        endpoint, PeerPath, "carry", args, deadline,
        [callback](const RpcAnswer<api::NodeService_carry_result> &answer) {
            callback(answer.reply ? &answer.reply->success : nullptr,
                     answer.outcome != HttpOutcome::NotSent);
        });
}

// Without a confirmed configuration every caller would be refused.
bool Node::isReady() const
{
    return !m_isDraining && m_operators.isConfirmed(BootClock::now());
}

bool Node::isOwner() const
{
    return m_ownership && BootClock::now() < m_ownership->ownedUntil();
}

void Node::onConfiguration()
{
    m_ingress.onConfiguration();
    const Configuration &configuration = m_operators.configuration();
    std::vector<std::string> resources;
    for (const ServiceConfig &service : configuration.services) {
        if (!service.isStandby)
            resources.push_back(poolResource(service.name));
    }
    if (m_settings.fleet.port != 0)
        resources.emplace_back(FleetResource);
    if (m_ownership)
        m_ownership->setResources(std::move(resources));
    for (const auto &[name, pool] : m_pools)
        pool->setConfiguration(configuration);
}

void Node::acquire(const OwnedResource &resource)
{
    m_log.info("resource.acquired",
               {{"resource", resource.name}, {"epoch", std::to_string(resource.epoch)}});
    if (resource.name != FleetResource) {
        acquirePool(resource.name.substr(PoolResourcePrefix.size()), resource);
        return;
    }
    m_fleetOwner = std::make_unique<FleetOwner>(m_fleetContext, resource.epoch);
    m_fleetOwner->setWaves(m_operators.waves());
    m_fleetOwner->start();
}

void Node::acquirePool(const std::string &pool, const OwnedResource &resource)
{
    auto owner = std::make_unique<PoolOwner>(m_poolContext, pool, resource);
    owner->setConfiguration(m_operators.configuration());
    owner->setRunners(m_runnerWatch.runners());
    PoolOwner &started = *owner;
    m_pools[pool] = std::move(owner);
    m_runnerWatch.setActive(true);
    started.start();
}

void Node::release(const std::string &resource)
{
    if (resource == FleetResource) {
        m_fleetOwner.reset();
        return;
    }
    const auto found = m_pools.find(resource.substr(PoolResourcePrefix.size()));
    if (found == m_pools.end())
        return;
    // This may be called from a method of the owner, so the owner is destroyed later.
    found->second->leave();
    m_deposed.push_back(std::move(found->second));
    m_pools.erase(found);
    m_runnerWatch.setActive(!m_pools.empty());
}

std::optional<Endpoint> Node::findOwner(const std::string &pool) const
{
    if (m_pools.contains(pool))
        return Endpoint{};
    const OwnerRow *owner = m_ownership ? m_ownership->ownerOf(poolResource(pool)) : nullptr;
    if (owner == nullptr || owner->owner == m_ownership->self())
        return std::nullopt;
    const MemberView::Entry *member = m_ownership->members().find(owner->owner);
    if (member == nullptr)
        return std::nullopt;
    const Result<Endpoint> endpoint = parseEndpoint(member->row.address);
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

void Node::handleLocally(const api::JobCall &call, const JobRelay::ReplyCallback &answer)
{
    const auto pool = m_pools.find(call.pool);
    if (pool != m_pools.end()) {
        pool->second->handle(call, answer);
        return;
    }
    api::JobReply reply;
    reply.code = std::int32_t(ResultCode::NotOwner);
    answer(reply);
}

void Node::send(const Endpoint &endpoint, const api::JobCall &call, TimePoint deadline,
                const JobRelay::SendCallback &sent)
{
    api::NodeService_job_args args;
    args.call = call;
    m_rpc.call<api::NodeService_job_args, api::NodeService_job_result>(
        endpoint, PeerPath, "job", args, deadline,
        [this, sent](const RpcAnswer<api::NodeService_job_result> &answer) {
            const bool isSent = answer.outcome != HttpOutcome::NotSent;
            const bool isOwner
                = answer.reply && answer.reply->success.code != std::int32_t(ResultCode::NotOwner);
            if (!isOwner && m_ownership)
                m_ownership->refresh();
            sent(answer.reply ? &answer.reply->success : nullptr, isSent);
        });
}

// Calls the pool's owner on this node or another; the callback gets nullptr if it was not reached.
template<typename Args, typename Result, typename Call, typename Reply>
void Node::askOwner(const char *method, const Call &call, Reply (PoolOwner::*answer)(const Call &),
                    const std::function<void(const Reply *)> &callback)
{
    const std::optional<Endpoint> owner = findOwner(call.pool);
    if (!owner) {
        callback(nullptr);
        return;
    }
    if (owner->port == 0) {
        const Reply reply = (*m_pools.at(call.pool).*answer)(call);
        callback(&reply);
        return;
    }
    Args args;
    args.call = call;
    m_rpc.call<Args, Result>(*owner, PeerPath, method, args, BootClock::now() + PeerTimeout,
                             [callback](const RpcAnswer<Result> &reply) {
                                 callback(reply.reply ? &reply.reply->success : nullptr);
                             });
}

// Answers the calls that other nodes make with askOwner().
template<typename Args, typename Result, typename Call, typename Reply>
void Node::addOwnerMethod(const char *method, Reply (PoolOwner::*answer)(const Call &))
{
    m_peerMethods.add<Args, Result>(method, [this, answer](const Args &args, const auto &reply) {
        Result result;
        result.__isset.success = true;
        const auto pool = m_pools.find(args.call.pool);
        if (pool != m_pools.end())
            result.success = (*pool->second.*answer)(args.call);
        else
            result.success.code = std::int32_t(ResultCode::NotOwner);
        reply(result);
    });
}

void Node::evacuate(const api::EvacuationCall &call,
                    const std::function<void(const api::EvacuationReply *)> &callback)
{
    askOwner<api::NodeService_evacuate_args, api::NodeService_evacuate_result>(
        "evacuate", call, &PoolOwner::evacuate, callback);
}

void Node::demand(const api::DemandCall &call,
                  const std::function<void(const api::DemandReply *)> &callback)
{
    askOwner<api::NodeService_demand_args, api::NodeService_demand_result>(
        "demand", call, &PoolOwner::demand, callback);
}

void Node::addPeerMethods()
{
    m_peerMethods.add<api::NodeService_job_args, api::NodeService_job_result>(
        "job", [this](const api::NodeService_job_args &args, const auto &answer) {
            handleLocally(args.call, [answer](const api::JobReply &reply) {
                api::NodeService_job_result result;
                result.success = reply;
                result.__isset.success = true;
                answer(result);
            });
        });
    m_peerMethods.add<api::NodeService_carry_args, api::NodeService_carry_result>(
        "carry", [this](const api::NodeService_carry_args &args, const auto &answer) {
            m_runnerCarrier.carry(args.call, [answer](const api::CarryReply &reply) {
                api::NodeService_carry_result result;
                result.success = reply;
                result.__isset.success = true;
                answer(result);
            });
        });
    addOwnerMethod<api::NodeService_evacuate_args, api::NodeService_evacuate_result>(
        "evacuate", &PoolOwner::evacuate);
    addOwnerMethod<api::NodeService_demand_args, api::NodeService_demand_result>(
        "demand", &PoolOwner::demand);
}

void Node::serveReadiness(const std::shared_ptr<HttpExchange> &exchange) const
{
    exchange->reply({.status = isReady() ? 200 : 503});
}

// Hands the pools over at once. Callers that the balancer still sends, and those on open
// connections, are served until they are gone or the grace period ends.
void Node::drain(std::function<void()> done)
{
    m_isDraining = true;
    m_runnerCarrier.leave();
    m_onDrained = std::move(done);
    if (m_ownership)
        m_ownership->leave();
    const TimePoint now = BootClock::now();
    m_graceEnd = now + m_settings.grace - GraceMargin;
    m_ingress.setAnswerDeadline(m_graceEnd - AnswerMargin);
    m_closeTimer.startAt(now + CloseDelay);
}

void Node::closeCallers()
{
    m_callersShutdown.drainConnections(QuietTime, m_graceEnd, [this] {
        m_callersShutdown.awaitOpenRequests(m_graceEnd + FinalAnswersTime, m_onDrained);
    });
}

} // namespace sequoiapier
