// ConfigurationFollower: keeps the configuration of one process up to date.
//
//   ConfigurationFollower follower({.name = "gateway-1", .incarnation = i, .isVoter = true},
//                                  {.readTable = ..., .poll = ..., .apply = ..., .event = ...});
//   follower.setPeers(names);
//   timer.startAt(follower.tick(now));
//   ...
//   if (!follower.isConfirmed(now)) // refuse the request with ConfigurationStale, "not run"
//   if (follower.isDenied(digest, now)) // refuse the request with KeyRejected
//
// A few processes read the table (setTableReader()); the others poll their peers and read the table
// only when no peer confirms their version. A version is never replaced by a lower one. A document
// that can't be parsed is rejected as a whole and the last valid version stays in force. The caller
// passes the time; no other clock is used.
// Memory: one configuration, its document, maxNotices notices and one entry per peer.
#pragma once

#include "sequoiapier/configuration.h"
#include "sequoiapier/configurationmessages.h"
#include "sequoiapier/confirmation.h"
#include "sequoiapier/table.h"
#include "sequoiapier/withdrawalnotices.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class ConfigurationFollower
{
public:
    struct Options
    {
        std::string name;
        std::uint64_t incarnation = 0;
        bool isVoter = false; // true for gateways
        // Interval of peer polls and, in a table reader, of table reads.
        Duration pollInterval = std::chrono::milliseconds(500);
        // Interval at which a process without a recent confirmation chain polls all peers.
        Duration outagePollInterval = std::chrono::milliseconds(1'000);
        // Age of the confirmation chain from which any process reads the table.
        Duration tableFallback = std::chrono::milliseconds(1'500);
        std::size_t peersPerPoll = 2;
        std::size_t maxPeers = 256;
        Confirmation::Options confirmation;
        WithdrawalNotices::Options notices;
    };

    struct Hooks
    {
        // Starts a read of ConfigurationKey; its answer is passed to onTableRow(startedAt, ...).
        std::function<void(TimePoint startedAt)> readTable;
        // Sends a poll to a peer; its answer is passed to onReport().
        std::function<void(std::string_view peer, const ConfigurationPoll &)> poll;
        // Called with every version that takes effect.
        std::function<void(const Configuration &)> apply;
        // Records "configuration.applied" or "configuration.rejected" in the event log.
        std::function<void(std::string_view kind, std::uint64_t version, std::string_view detail)>
            event;
        // Whether `version` may replace `current`. If empty, only a higher version may. For tests.
        std::function<bool(std::uint64_t current, std::uint64_t version)> mayReplace;
    };

    ConfigurationFollower(Options options, Hooks hooks);

    // Starts the reads and polls that are due. Returns the time of the next call.
    TimePoint tick(TimePoint now);

    void onTableRow(TimePoint startedAt, const Result<std::optional<TableRow>> &row, TimePoint now);
    void onReport(const ConfigurationReport &report, TimePoint now);
    ConfigurationReport answerPoll(const ConfigurationPoll &poll, TimePoint now) const;
    // Applies a committed version if this process already has one. Returns seenVersion().
    std::uint64_t onPush(const ConfigurationPush &push);
    // Refuses a key that is about to be withdrawn, until the notice expires; a version without the
    // key is expected by then.
    void onNotice(const WithdrawalNotice &notice, TimePoint now);

    // Discards the confirmation: nothing that was sent or requested before `now` counts as
    // confirmed any more. To be called after a pause of the process.
    void dropConfirmation(TimePoint now);

    void setPeers(std::vector<std::string> peers);
    void setTableReader(bool isTableReader) { m_isTableReader = isTableReader; }

    // Whether requests may be accepted under configuration().
    bool isConfirmed(TimePoint now) const;
    // Whether a notice announced the withdrawal of the key with `digest`.
    bool isDenied(std::string_view digest, TimePoint now) const;
    const Configuration &configuration() const { return m_configuration; }
    const std::string &document() const { return m_document; }
    std::uint64_t seenVersion() const { return m_seenVersion; }

private:
    void pollPeers(TimePoint now);
    bool needsTable(TimePoint now) const;
    bool hasRecentChain(TimePoint now) const;
    bool tryApply(std::uint64_t version, std::string_view document);
    bool mayReplace(std::uint64_t version) const;
    // Whether a confirmation chain that starts at `instant` is younger than the staleness and than
    // the latest start or pause of this process.
    bool isFreshChain(TimePoint instant, TimePoint now) const;

    Options m_options;
    Hooks m_hooks;
    Confirmation m_confirmation;
    WithdrawalNotices m_notices;
    Configuration m_configuration;
    std::string m_document;
    std::uint64_t m_seenVersion = 0;
    std::uint64_t m_rejectedVersion = 0;
    std::vector<std::string> m_peers;
    std::size_t m_nextPeer = 0;
    bool m_isTableReader = false;
    bool m_isReading = false;
    TimePoint m_readDue{};
    TimePoint m_pollDue{};
    std::optional<TimePoint> m_droppedAt; // time of the latest pause, or of the start
};

} // namespace sequoiapier
