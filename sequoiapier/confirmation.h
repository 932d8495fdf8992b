// Confirmation: whether the configuration a process holds may still be used.
//
//   confirmation.confirm(startedAt, version);          // a table read, or a peer's report
//   confirmation.vouch("gateway-3", askedAt, version); // in an outage of the table
//   if (!confirmation.isConfirmed(now, version)) ...   // take no work
//
// A version is confirmed by either of
// - a chain: at some instant within `staleness` the table's version was at most the one held. The
//   instant is the start of a table read, or that of a peer's chain: the time the peer was asked
//   less the age it reported. Ages are added up, so only clock rates are trusted.
// - a quorum, when nobody reaches the table: a majority of `maxVoters`, itself included, stated
//   within `staleness` that it knows no higher version, and the last chain is younger than
//   `maxOutage`. A controller answers its operator only after a majority of the voters has taken
//   the committed version, so that no majority vouches for an older one after that.
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
        std::size_t maxVouchers = 256; // further ones are ignored
    };

    explicit Confirmation(Options options)
        : m_options(options)
    { }

    // The table's version was at most `version` at some time after `instant`.
    void confirm(TimePoint instant, std::uint64_t version);
    // `voter` knew no version above `version` at some time after `instant`.
    void vouch(std::string_view voter, TimePoint instant, std::uint64_t version);
    // Forgets everything learned from messages sent before `now`.
    void drop(TimePoint now);

    // Voters that may run at once; 0: nothing is confirmed without a chain.
    void setMaxVoters(std::size_t maxVoters) { m_maxVoters = maxVoters; }
    // Whether this process is a voter itself.
    void setVoter(bool isVoter) { m_isVoter = isVoter; }

    bool isConfirmed(TimePoint now, std::uint64_t version) const;
    bool hasChain(TimePoint now, std::uint64_t version) const;
    bool hasQuorum(TimePoint now, std::uint64_t version) const;
    // Whether this process may vouch to others.
    bool canVouch(TimePoint now) const;
    // Start of the youngest chain for `version` or below; nullopt if there is none.
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
    std::optional<TimePoint> m_lastChain; // survives drop(), for maxOutage only
    std::map<std::string, Statement, std::less<>> m_vouchers;
    std::optional<TimePoint> m_droppedAt;
    std::size_t m_maxVoters = 0;
    bool m_isVoter = false;
};

} // namespace sequoiapier
