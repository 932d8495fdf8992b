#include "testing/support/configurationgroup.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(50);
constexpr Duration MaxWithdrawalDelay = std::chrono::seconds(5);
constexpr Duration ReadDeadline = std::chrono::milliseconds(1'000);
constexpr std::size_t PollBytes = 24;
constexpr std::size_t ReportBytes = 64;

std::string memberName(std::size_t index)
{
    return "gateway-" + std::to_string(index);
}

} // namespace

ConfigurationGroup::ConfigurationGroup(Options options)
    : m_options(std::move(options))
    , m_table(m_time)
    , m_random(m_options.seed)
{
    for (std::size_t i = 0; i < m_options.members; ++i) {
        m_members.push_back(std::make_unique<Member>());
        m_members.back()->index = i;
        start(*m_members.back());
    }
}

void ConfigurationGroup::start(Member &member)
{
    ++member.incarnation;
    ConfigurationFollower::Options options = m_options.follower;
    options.name = memberName(member.index);
    options.incarnation = member.incarnation;
    options.isVoter = true;
    member.highestApplied = 0;
    member.follower = std::make_unique<ConfigurationFollower>(
        options,
        ConfigurationFollower::Hooks{
            .readTable = [this, &member](TimePoint startedAt) { readTable(member, startedAt); },
            .poll
            = [this, &member](std::string_view peer,
                              const ConfigurationPoll &request) { poll(member, peer, request); },
            .apply =
                [this, &member](const Configuration &configuration) {
                    if (configuration.version <= member.highestApplied)
                        recordViolation("a follower went back to a lower version");
                    member.highestApplied = configuration.version;
                },
            .event =
                [this](std::string_view kind, std::uint64_t, std::string_view) {
                    m_rejections += kind == "configuration.rejected" ? 1 : 0;
                },
            .mayReplace = m_options.mayReplace});
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < m_options.members; ++i) {
        if (i != member.index)
            peers.push_back(memberName(i));
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    member.follower->setPeers(std::move(peers));
    member.follower->setTableReader(member.index < m_options.readers);
    const Duration startOffset
        = m_options.follower.pollInterval * int(member.index) / int(m_options.members);
    m_time.after(startOffset,
                 [this, &member, incarnation = member.incarnation] { tick(member, incarnation); });
}

void ConfigurationGroup::tick(Member &member, std::uint64_t incarnation)
{
    deliver(member, [this, &member, incarnation] {
        if (member.incarnation != incarnation)
            return;
        const TimePoint next = member.follower->tick(m_time.now());
        m_time.at(next, [this, &member, incarnation] { tick(member, incarnation); });
    });
}

void ConfigurationGroup::readTable(Member &member, TimePoint startedAt)
{
    m_table.hooks(memberName(member.index))
        .read(ConfigurationKey, startedAt + ReadDeadline,
              [this, &member, startedAt,
               incarnation = member.incarnation](const Result<std::optional<TableRow>> &row) {
                  deliver(member, [this, &member, startedAt, incarnation, row] {
                      if (member.incarnation == incarnation)
                          member.follower->onTableRow(startedAt, row, m_time.now());
                  });
              });
}

void ConfigurationGroup::poll(Member &from, std::string_view peer, const ConfigurationPoll &poll)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto &member) {
        return memberName(member->index) == peer;
    });
    Member &to = **found;
    send(PollBytes, [this, &from, &to, poll] {
        if (from.side != to.side)
            return;
        deliver(to, [this, &from, &to, poll] {
            const ConfigurationReport report = to.follower->answerPoll(poll, m_time.now());
            send(ReportBytes + report.document.size(), [this, &from, &to, report] {
                if (from.side != to.side)
                    return;
                deliver(from,
                        [this, &from, report] { from.follower->onReport(report, m_time.now()); });
            });
        });
    });
}

void ConfigurationGroup::push(Member &member, const ConfigurationPush &push,
                              const std::shared_ptr<PushRound> &round)
{
    send(PollBytes + push.document.size(), [this, &member, push, round] {
        if (member.side != m_committerSide)
            return;
        deliver(member, [this, &member, push, round] {
            const std::uint64_t seenVersion = member.follower->onPush(push);
            send(PollBytes, [this, &member, seenVersion, round] {
                if (member.side == m_committerSide)
                    round->onReceived(memberName(member.index), seenVersion);
            });
        });
    });
}

void ConfigurationGroup::send(std::size_t bytes, const std::function<void()> &onArrival)
{
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<Duration::rep> delay(m_options.minDelay.count(),
                                                       m_options.maxDelay.count());
    const int copies = 1 + (chance(m_random) < m_options.repeatRate ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
        ++m_messages;
        m_bytes += bytes;
        if (chance(m_random) >= m_options.lossRate)
            m_time.after(Duration(delay(m_random)), onArrival);
    }
}

void ConfigurationGroup::deliver(Member &member, std::function<void()> event)
{
    if (member.isPaused)
        member.backlog.push_back(std::move(event));
    else
        event();
}

bool ConfigurationGroup::commitKeys(const std::set<std::string> &keys)
{
    if (m_isCommitterCut)
        return false;
    Configuration configuration{.maxGateways = m_options.maxGateways};
    configuration.teams = {{.name = "pricing"}};
    for (const std::string &key : keys)
        configuration.keys.push_back({.digest = key, .team = "pricing"});
    if (m_options.padding > 0)
        configuration.pools = {{.name = std::string(m_options.padding, 'p')}};
    const std::string document = toJson(configuration);
    const std::string row(ConfigurationKey);
    const std::uint64_t baseVersion
        = m_table.rows().read(row).empty() ? 0 : m_table.rows().read(row).front().version;
    m_version = m_table.rows().commit({{row, document, baseVersion}}).versions.front();
    std::set<std::string> withdrawn;
    std::set_difference(m_keys.begin(), m_keys.end(), keys.begin(), keys.end(),
                        std::inserter(withdrawn, withdrawn.end()));
    for (const std::string &key : keys)
        m_deniedFrom.erase(key);
    m_keys = keys;
    m_isAnswered = false;
    const auto round = std::make_shared<PushRound>(m_version, m_options.maxGateways);
    if (m_options.pushes) {
        for (const auto &member : m_members)
            push(*member, {.version = m_version, .document = document}, round);
    }
    m_time.after(m_options.maxDelay * 4,
                 [this, round, withdrawn] { answerCommit(*round, withdrawn); });
    return true;
}

void ConfigurationGroup::answerCommit(const PushRound &round,
                                      const std::set<std::string> &withdrawn)
{
    if (!round.isSettled() && !m_options.answersUnsettled)
        return;
    m_isAnswered = m_isAnswered || round.version() == m_version;
    for (const std::string &key : withdrawn) {
        if (!m_keys.contains(key))
            m_deniedFrom.emplace(key, m_time.now() + MaxWithdrawalDelay);
    }
}

void ConfigurationGroup::run(Duration duration)
{
    const TimePoint end = m_time.now() + duration;
    while (m_time.now() < end) {
        m_time.runUntil(std::min(end, m_time.now() + CheckInterval));
        check();
    }
}

void ConfigurationGroup::check()
{
    for (const auto &member : m_members) {
        if (member->isPaused || !isConfirmed(member->index))
            continue;
        // A member must not go back to a lower version across a restart either.
        if (member->follower->configuration().version < member->highestConfirmed)
            recordViolation("a follower accepts work under a lower version than before");
        member->highestConfirmed = member->follower->configuration().version;
        for (const auto &[key, deniedFrom] : m_deniedFrom) {
            if (m_time.now() >= deniedFrom
                && member->follower->configuration().findKey(key) != nullptr
                && !member->follower->isDenied(key, m_time.now())) {
                recordViolation("work with a withdrawn key is accepted at "
                                + memberName(member->index));
            }
        }
    }
}

void ConfigurationGroup::recordViolation(const std::string &what)
{
    if (m_violations++ == 0)
        m_firstViolation = what;
}

void ConfigurationGroup::cutTable(std::size_t member, bool isCut)
{
    if (isCut)
        m_table.cutOff(memberName(member));
    else
        m_table.reconnect(memberName(member));
}

void ConfigurationGroup::setCommitterCut(bool isCut)
{
    m_isCommitterCut = isCut;
}

void ConfigurationGroup::resume(std::size_t member)
{
    Member &paused = *m_members[member];
    if (!paused.isPaused)
        return;
    paused.isPaused = false;
    paused.follower->dropConfirmation(m_time.now());
    for (const auto &event : std::exchange(paused.backlog, {}))
        event();
    check();
}

void ConfigurationGroup::restart(std::size_t member)
{
    Member &restarted = *m_members[member];
    restarted.isPaused = false;
    restarted.backlog.clear();
    start(restarted);
}

bool ConfigurationGroup::isConfirmed(std::size_t member) const
{
    return m_members[member]->follower->isConfirmed(m_time.now());
}

const ConfigurationFollower &ConfigurationGroup::follower(std::size_t member) const
{
    return *m_members[member]->follower;
}

std::size_t ConfigurationGroup::confirmedCount() const
{
    return std::size_t(std::count_if(m_members.begin(), m_members.end(), [&](const auto &member) {
        return isConfirmed(member->index);
    }));
}

std::size_t ConfigurationGroup::currentCount() const
{
    return std::size_t(std::count_if(m_members.begin(), m_members.end(), [&](const auto &member) {
        return member->follower->configuration().version == m_version;
    }));
}

} // namespace sequoiapier
