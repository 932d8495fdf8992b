#include "peer/peernode.h"

#include <random>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TableTimeout = std::chrono::seconds(2);
constexpr Duration PeerTimeout = std::chrono::milliseconds(800);
constexpr Duration RegisterRetryInterval = std::chrono::milliseconds(500);
constexpr Duration MemberScanInterval = std::chrono::seconds(1);
constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr Duration HeartbeatTimeout = std::chrono::seconds(3);
constexpr std::size_t TableReaderCount = 3;

std::string randomId()
{
    std::random_device device;
    return std::to_string((std::uint64_t(device()) << 32) | device());
}

Endpoint toEndpoint(const MemberRow &member)
{
    return {member.address, member.port};
}

} // namespace

PeerNode::PeerNode(Daemon &daemon, Options options, Hooks hooks)
    : m_daemon(daemon)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_remoteTable(daemon.httpClient(), {m_options.table})
    , m_table(m_remoteTable.hooks())
    , m_rpcClient(daemon.httpClient())
    , m_membership({.self = daemon.settings().name, .heartbeatTimeout = HeartbeatTimeout})
    , m_registerTimer(daemon.loop(), [this] { registerSelf(); })
    , m_scanTimer(daemon.loop(), [this] { scanMembers(); })
    , m_heartbeatTimer(daemon.loop(), [this] { heartbeat(); })
    , m_followerTimer(daemon.loop(), [this] { tickFollower(); })
{
    addMethods();
    daemon.route(PeerPath, [this](const std::shared_ptr<HttpExchange> &exchange) {
        if (hasJoined())
            m_rpcServer.serve(exchange);
        else
            exchange->reply({.status = 503});
    });
    daemon.loop().onPause([this](const Pause &) {
        if (m_follower)
            m_follower->dropConfirmation(BootClock::now());
    });
}

MemberId PeerNode::self() const
{
    return {m_daemon.settings().name, m_incarnation};
}

api::PeerSender PeerNode::sender()
{
    api::PeerSender sender;
    sender.name = m_daemon.settings().name;
    sender.incarnation = std::int64_t(m_incarnation);
    sender.time = toWire(m_daemon.events().clock().tick());
    return sender;
}

std::optional<Endpoint> PeerNode::endpointOf(std::string_view member) const
{
    for (const MemberRow &row : m_membership.peers("")) {
        if (row.name == member)
            return toEndpoint(row);
    }
    return std::nullopt;
}

void PeerNode::observe(const api::PeerSender &sender)
{
    m_daemon.events().clock().observe(fromWire(sender.time));
    m_membership.onHeartbeat(sender.name, std::uint64_t(sender.incarnation), BootClock::now());
}

void PeerNode::registerSelf()
{
    const CommonSettings &settings = m_daemon.settings();
    const std::string key = std::string(MemberPrefix) + settings.name;
    m_table.read(key, BootClock::now() + TableTimeout, [this](Result<std::optional<TableRow>> row) {
        if (!row) {
            m_registerTimer.startAt(BootClock::now() + RegisterRetryInterval);
            return;
        }
        const CommonSettings &settings = m_daemon.settings();
        const MemberRegistration registration
            = registerMember({.name = settings.name,
                              .role = m_options.role,
                              .zone = settings.zone,
                              .address = settings.address,
                              .port = std::uint16_t(settings.port)},
                             row.value());
        m_table.commit({.writeId = "register/" + settings.name + "/" + randomId(),
                        .writes = {registration.write}},
                       BootClock::now() + TableTimeout,
                       [this, registration](const CommitAnswer &answer) {
                           onRegistered(registration, answer);
                       });
    });
}

void PeerNode::onRegistered(const MemberRegistration &registration, const CommitAnswer &answer)
{
    if (answer.outcome == CommitOutcome::Committed)
        join(registration.incarnation);
    else // If a write of unknown outcome took effect, its incarnation stays unused.
        m_registerTimer.startAt(BootClock::now() + RegisterRetryInterval);
}

void PeerNode::join(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    ConfigurationFollower::Options options{.name = m_daemon.settings().name,
                                           .incarnation = incarnation,
                                           .isVoter = m_options.role == "gateway"};
    m_follower = std::make_unique<ConfigurationFollower>(std::move(options), followerHooks());
    m_daemon.report("member.joined", {.subject = m_options.role, .epoch = incarnation});
    if (m_hooks.joined)
        m_hooks.joined();
    scanMembers();
    heartbeat();
    tickFollower();
}

ConfigurationFollower::Hooks PeerNode::followerHooks()
{
    ConfigurationFollower::Hooks hooks;
    hooks.readTable = [this](TimePoint startedAt) {
        m_table.read(ConfigurationKey, BootClock::now() + TableTimeout,
                     [this, startedAt](const Result<std::optional<TableRow>> &row) {
                         m_follower->onTableRow(startedAt, row, BootClock::now());
                     });
    };
    hooks.poll = [this](std::string_view peer, const ConfigurationPoll &poll) {
        for (const MemberRow &member : m_membership.peers("")) {
            if (member.name == peer)
                sendPoll(member, poll);
        }
    };
    hooks.apply = [this](const Configuration &configuration) {
        if (m_hooks.apply)
            m_hooks.apply(configuration);
    };
    hooks.event = [this](std::string_view kind, std::uint64_t version, std::string_view detail) {
        m_daemon.report(kind, {.epoch = version, .detail = std::string(detail)});
    };
    return hooks;
}

void PeerNode::scanMembers()
{
    const TimePoint startedAt = BootClock::now();
    m_table.scan(MemberPrefix, startedAt + TableTimeout,
                 [this, startedAt](const Result<std::vector<TableRow>> &rows) {
                     const TimePoint now = BootClock::now();
                     if (rows) {
                         m_membership.onRows(startedAt, rows.value(), now);
                         std::vector<std::string> names;
                         for (const MemberRow &member : m_membership.peers(""))
                             names.push_back(member.name);
                         m_follower->setPeers(std::move(names));
                     }
                     m_scanTimer.startAt(now + MemberScanInterval);
                 });
}

void PeerNode::heartbeat()
{
    const TimePoint now = BootClock::now();
    const std::string &self = m_daemon.settings().name;
    const ConfigurationPoll poll{.token = now.time_since_epoch().count(),
                                 .incarnation = m_incarnation,
                                 .version = m_follower->configuration().version};
    for (const MemberRow &member : m_membership.peers("")) {
        if (self < member.name || !m_membership.isAlive(member.name, now))
            sendPoll(member, poll);
    }
    m_heartbeatTimer.startAt(now + HeartbeatInterval);
}

void PeerNode::tickFollower()
{
    const TimePoint now = BootClock::now();
    m_follower->setTableReader(m_membership.isTableReader(TableReaderCount, now));
    m_followerTimer.startAt(m_follower->tick(now));
}

void PeerNode::sendPoll(const MemberRow &peer, const ConfigurationPoll &poll)
{
    api::PeerService_poll_args args;
    args.poll = toWire(poll);
    call<api::PeerService_poll_args, api::PeerService_poll_result>(
        toEndpoint(peer), "poll", args, BootClock::now() + PeerTimeout,
        [this](const RpcAnswer<api::PeerService_poll_result> &answer) {
            if (!answer.reply)
                return;
            observe(answer.reply->success.sender);
            m_follower->onReport(fromWire(answer.reply->success.report), BootClock::now());
        });
}

void PeerNode::push(const ConfigurationPush &push, const TakenCallback &onTaken)
{
    api::PeerService_push_args args;
    args.version = std::int64_t(push.version);
    args.document = push.document;
    for (const MemberRow &member : m_membership.peers("gateway")) {
        call<api::PeerService_push_args, api::PeerService_push_result>(
            toEndpoint(member), "push", args, BootClock::now() + PeerTimeout,
            [onTaken, name = member.name](const RpcAnswer<api::PeerService_push_result> &answer) {
                if (answer.reply)
                    onTaken(name, std::uint64_t(answer.reply->success));
            });
    }
}

void PeerNode::announce(const std::vector<WithdrawalNotice> &notices)
{
    api::PeerService_notice_args args;
    for (const WithdrawalNotice &notice : notices)
        args.notices.push_back(toWire(notice));
    for (const MemberRow &member : m_membership.peers("")) {
        call<api::PeerService_notice_args, api::PeerService_notice_result>(
            toEndpoint(member), "notice", args, BootClock::now() + PeerTimeout,
            [](const RpcAnswer<api::PeerService_notice_result> &) {});
    }
}

void PeerNode::addMethods()
{
    m_rpcServer.add<api::PeerService_poll_args, api::PeerService_poll_result>(
        "poll", [this](const auto &args, const auto &answer) {
            observe(args.sender);
            api::PeerService_poll_result result;
            result.success.sender = sender();
            result.success.report
                = toWire(m_follower->answerPoll(fromWire(args.poll), BootClock::now()));
            result.__isset.success = true;
            answer(result);
        });
    m_rpcServer.add<api::PeerService_push_args, api::PeerService_push_result>(
        "push", [this](const auto &args, const auto &answer) {
            observe(args.sender);
            api::PeerService_push_result result;
            result.success = std::int64_t(m_follower->onPush(
                {.version = std::uint64_t(args.version), .document = args.document}));
            result.__isset.success = true;
            answer(result);
        });
    m_rpcServer.add<api::PeerService_notice_args, api::PeerService_notice_result>(
        "notice", [this](const auto &args, const auto &answer) {
            observe(args.sender);
            for (const api::WithdrawalMessage &notice : args.notices)
                m_follower->onNotice(fromWire(notice), BootClock::now());
            api::PeerService_notice_result result;
            result.success = true;
            result.__isset.success = true;
            answer(result);
        });
}

} // namespace sequoiapier
