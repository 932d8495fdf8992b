// ConfigurationFollower: keeps the configuration in force in one process.
//
//   ConfigurationFollower follower({.name = "gateway-1", .incarnation = i, .isVoter = true},
//                                  {.readTable = ..., .poll = ..., .apply = ..., .event = ...});
//   follower.setPeers(names);
//   timer.startAt(follower.tick(now));
//   ...
//   if (!follower.isConfirmed(now)) // refuse with ConfigurationStale, "not run"
//   if (follower.isDenied(digest, now)) // refuse with KeyRejected
//
// A few processes read the table (setTableReader()); the others ask peers and read the table only
// when no peer confirms. A version is never replaced by a lower one, a document that can't be
// parsed is rejected whole and the last good one stays. Time is passed in; no other clock is used.
// Memory: one configuration, its document, maxNotices notices and one entry a peer.
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
        bool isVoter = false; // gateways are voters
        Duration pollInterval = std::chrono::milliseconds(500); // of a reader's table reads, too
        Duration outagePollInterval = std::chrono::milliseconds(1'000); // of all peers, unconfirmed
        Duration tableFallback = std::chrono::milliseconds(1'500); // age at which anyone reads
        std::size_t peersPerPoll = 2;
        std::size_t maxPeers = 256;
        Confirmation::Options confirmation;
        WithdrawalNotices::Options notices;
    };

    struct Hooks
    {
        // Starts a read of ConfigurationKey that leads to onTableRow(startedAt, ...).
        std::function<void(TimePoint startedAt)> readTable;
        // Sends a poll to a peer; its answer leads to onReport().
        std::function<void(std::string_view peer, const ConfigurationPoll &)> poll;
        // Called with every version that comes into force.
        std::function<void(const Configuration &)> apply;
        // "configuration.applied" or "configuration.rejected", for the time line.
        std::function<void(std::string_view kind, std::uint64_t version, std::string_view detail)>
            event;
        // Whether `version` may replace `current`; empty: only a higher one. For tests.
        std::function<bool(std::uint64_t current, std::uint64_t version)> mayReplace;
    };

    ConfigurationFollower(Options options, Hooks hooks);

    // Does what is due and returns when to call again.
    TimePoint tick(TimePoint now);

    void onTableRow(TimePoint startedAt, const Result<std::optional<TableRow>> &row, TimePoint now);
    void onReport(const ConfigurationReport &report, TimePoint now);
    ConfigurationReport answerPoll(const ConfigurationPoll &poll, TimePoint now) const;
    // Takes a committed version; returns seenVersion().
    std::uint64_t onPush(const ConfigurationPush &push);
    // Refuses a key early, until the notice lapses or a version arrives.
    void onNotice(const WithdrawalNotice &notice, TimePoint now);

    // After a pause: takes nothing as confirmed that was sent or asked before `now`.
    void dropConfirmation(TimePoint now);

    void setPeers(std::vector<std::string> peers);
    void setTableReader(bool isTableReader) { m_isTableReader = isTableReader; }

    // Whether work may be taken under configuration().
    bool isConfirmed(TimePoint now) const;
    // Whether the key with `digest` is announced as withdrawn.
    bool isDenied(std::string_view digest, TimePoint now) const;
    const Configuration &configuration() const { return m_configuration; }
    const std::string &document() const { return m_document; }
    std::uint64_t seenVersion() const { return m_seenVersion; }

private:
    void pollPeers(TimePoint now);
    bool needsTable(TimePoint now) const;
    bool hasYoungChain(TimePoint now) const;
    bool take(std::uint64_t version, std::string_view document);
    bool mayReplace(std::uint64_t version) const;
    // Whether a chain from `instant` is within the staleness and not from before a start or pause.
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
    std::optional<TimePoint> m_droppedAt; // at the latest pause, or the start
};

} // namespace sequoiapier
