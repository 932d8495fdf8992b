// A version is distributed in two ways: the controller that committed it pushes it, and the other
// processes pull it. Table readers read the row every pollInterval; all processes poll peersPerPoll
// peers, in turn, at the same interval. A report carries the document if the polling process has a
// lower version, so one exchange both delivers and confirms a version. A process without a recent
// confirmation chain polls all peers, because a quorum needs a majority of answers. Cost of a tick:
// O(peersPerPoll) messages, O(peers) when unconfirmed.
#include "sequoiapier/configurationfollower.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

ConfigurationFollower::ConfigurationFollower(Options options, Hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_confirmation(m_options.confirmation)
    , m_notices(m_options.notices)
{
    m_confirmation.setVoter(m_options.isVoter);
}

TimePoint ConfigurationFollower::tick(TimePoint now)
{
    if (!m_droppedAt)
        dropConfirmation(now);
    if (now >= m_readDue && !m_isReading && needsTable(now)) {
        m_isReading = true;
        m_readDue = now + m_options.pollInterval;
        m_hooks.readTable(now);
    }
    if (now >= m_pollDue)
        pollPeers(now);
    const TimePoint next = now + m_options.pollInterval;
    return std::min(std::max(m_pollDue, now + m_options.pollInterval / 4), next);
}

bool ConfigurationFollower::needsTable(TimePoint now) const
{
    return m_isTableReader || !hasRecentChain(now);
}

bool ConfigurationFollower::hasRecentChain(TimePoint now) const
{
    const std::optional<TimePoint> instant = m_confirmation.chainInstant(m_seenVersion);
    return instant && now - *instant < m_options.tableFallback;
}

void ConfigurationFollower::pollPeers(TimePoint now)
{
    const bool isRecent = hasRecentChain(now);
    m_pollDue = now + (isRecent ? m_options.pollInterval : m_options.outagePollInterval);
    const ConfigurationPoll poll{.token = now.time_since_epoch().count(),
                                 .incarnation = m_options.incarnation,
                                 .version = m_configuration.version};
    const std::size_t count
        = isRecent ? std::min(m_options.peersPerPoll, m_peers.size()) : m_peers.size();
    for (std::size_t i = 0; i < count; ++i) {
        m_nextPeer = (m_nextPeer + 1) % m_peers.size();
        m_hooks.poll(m_peers[m_nextPeer], poll);
    }
}

void ConfigurationFollower::onTableRow(TimePoint startedAt,
                                       const Result<std::optional<TableRow>> &row, TimePoint now)
{
    m_isReading = false;
    if (!row || !row.value() || startedAt > now)
        return;
    tryApply(row.value()->version, row.value()->value);
    m_confirmation.confirm(startedAt, row.value()->version);
}

void ConfigurationFollower::onReport(const ConfigurationReport &report, TimePoint now)
{
    const TimePoint askedAt{Duration(report.token)};
    if (report.incarnation != m_options.incarnation || askedAt > now
        || (m_droppedAt && askedAt < *m_droppedAt)) { // the poll was sent before a pause
        return;
    }
    for (const WithdrawalNotice &notice : report.notices)
        m_notices.add(notice, now);
    const bool isFresh = report.confirmedAge && isFreshChain(askedAt - *report.confirmedAge, now);
    // A process that has no version since its restart may have had a higher one before, so it
    // applies only a version that is freshly confirmed.
    if (!report.document.empty() && (isFresh || m_configuration.version != 0))
        tryApply(report.version, report.document);
    // The sender has examined every version up to seenVersion and rejected those above the one in
    // force here.
    if (isFresh && m_configuration.version != 0 && report.version <= m_configuration.version)
        m_seenVersion = std::max(m_seenVersion, report.seenVersion);
    if (report.confirmedAge)
        m_confirmation.confirm(askedAt - *report.confirmedAge, report.seenVersion);
    if (report.canVouch)
        m_confirmation.vouch(report.sender, askedAt, report.seenVersion);
}

bool ConfigurationFollower::isFreshChain(TimePoint instant, TimePoint now) const
{
    return now - instant < m_options.confirmation.staleness
        && (!m_droppedAt || instant >= *m_droppedAt);
}

ConfigurationReport ConfigurationFollower::answerPoll(const ConfigurationPoll &poll,
                                                      TimePoint now) const
{
    ConfigurationReport report{.token = poll.token,
                               .incarnation = poll.incarnation,
                               .sender = m_options.name,
                               .senderIncarnation = m_options.incarnation,
                               .version = m_configuration.version,
                               .seenVersion = m_seenVersion,
                               .canVouch = m_confirmation.canVouch(now),
                               .notices = m_notices.standing(now)};
    const std::optional<TimePoint> instant = m_confirmation.chainInstant(m_seenVersion);
    if (instant)
        report.confirmedAge = now - *instant;
    if (poll.version < m_configuration.version)
        report.document = m_document;
    return report;
}

std::uint64_t ConfigurationFollower::onPush(const ConfigurationPush &push)
{
    // A process that has no version yet waits for a confirmed one.
    if (m_configuration.version != 0)
        tryApply(push.version, push.document);
    return m_seenVersion;
}

void ConfigurationFollower::onNotice(const WithdrawalNotice &notice, TimePoint now)
{
    m_notices.add(notice, now);
}

void ConfigurationFollower::dropConfirmation(TimePoint now)
{
    m_droppedAt = now;
    m_confirmation.drop(now);
    m_isReading = false;
    m_readDue = now;
    m_pollDue = now;
}

void ConfigurationFollower::setPeers(std::vector<std::string> peers)
{
    m_peers = std::move(peers);
    if (m_peers.size() > m_options.maxPeers)
        m_peers.resize(m_options.maxPeers);
}

bool ConfigurationFollower::isConfirmed(TimePoint now) const
{
    return m_configuration.version != 0 && m_confirmation.isConfirmed(now, m_seenVersion);
}

bool ConfigurationFollower::isDenied(std::string_view digest, TimePoint now) const
{
    return m_notices.contains(digest, now);
}

bool ConfigurationFollower::mayReplace(std::uint64_t version) const
{
    if (m_hooks.mayReplace)
        return m_hooks.mayReplace(m_configuration.version, version);
    return version > m_configuration.version;
}

bool ConfigurationFollower::tryApply(std::uint64_t version, std::string_view document)
{
    if (!mayReplace(version) || version == m_rejectedVersion)
        return false;
    Result<Configuration> parsed = parseConfiguration(document, version);
    m_seenVersion = std::max(m_seenVersion, version);
    if (!parsed) {
        m_rejectedVersion = version;
        m_hooks.event("configuration.rejected", version, parsed.error().detail);
        return false;
    }
    m_configuration = std::move(parsed.value());
    m_document = document;
    m_confirmation.setMaxVoters(m_configuration.maxGateways);
    m_hooks.event("configuration.applied", version, "");
    m_hooks.apply(m_configuration);
    return true;
}

} // namespace sequoiapier
