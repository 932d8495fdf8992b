// Confirmation: decides whether the configuration version that a process holds may still be used.
//
//   confirmation.confirm(startedAt, version);          // a table read, or a peer's report
//   confirmation.vouch("gateway-3", askedAt, version); // in an outage of the table
//   if (!confirmation.isConfirmed(now, version)) ...   // accept no work
//
// A version is confirmed by either of
// - a chain of reports that starts at a table read: at some instant within the last `staleness`
//   the table's version was at most the one held. The instant is the start of the table read or,
//   for a peer's chain, the time at which the peer was asked less the age that it reported. Ages
//   are added up, so that processes rely only on each other's clock rates.
// - a quorum, when no process can reach the table: a majority of `maxVoters`, including this
//   process, stated within the last `staleness` that it knows no higher version, and the last chain
//   is younger than `maxOutage`. A controller answers its operator only after a majority of the
//   voters has applied the committed version, so that no majority vouches for an older one
//   afterwards.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier {

class Confirmation
{
public:
    struct Options
    {
        Duration staleness = std::chrono::seconds(4);
        Duration maxOutage = std::chrono::hours(1);
        std::size_t maxVouchers = 256; // statements of further voters are ignored
    };

    explicit Confirmation(Options options)
        : m_options(options)
    { }

    // Records that the table's version was at most `version` at some time after `instant`.
    void confirm(TimePoint instant, std::uint64_t version);
    // Records that `voter` knew no version above `version` at some time after `instant`.
    void vouch(std::string_view voter, TimePoint instant, std::uint64_t version);
    // Discards all statements, and ignores those from messages sent before `now`. The limit by
    // maxOutage still counts from the last chain.
    void drop(TimePoint now);

    // Sets the most voters that may run at the same time; 0: only chains confirm a version.
    void setMaxVoters(std::size_t maxVoters) { m_maxVoters = maxVoters; }
    // Sets whether this process is a voter.
    void setVoter(bool isVoter) { m_isVoter = isVoter; }

    bool isConfirmed(TimePoint now, std::uint64_t version) const;
    bool hasChain(TimePoint now, std::uint64_t version) const;
    bool hasQuorum(TimePoint now, std::uint64_t version) const;
    // Whether this process may state to others which version it knows.
    bool canVouch(TimePoint now) const;
    // Start of the latest chain if its version is at most `version`; nullopt otherwise.
    std::optional<TimePoint> chainInstant(std::uint64_t version) const;

private:
    struct Statement
    {
        TimePoint instant;
        std::uint64_t version = 0;
    };

    static void update(std::optional<Statement> &statement, Statement next);

    Options m_options;
    std::optional<Statement> m_chain;
    std::optional<TimePoint> m_lastChain; // kept by drop(), used only for maxOutage
    std::map<std::string, Statement, std::less<>> m_vouchers;
    std::optional<TimePoint> m_droppedAt;
    std::size_t m_maxVoters = 0;
    bool m_isVoter = false;
};

} // namespace sequoiapier
