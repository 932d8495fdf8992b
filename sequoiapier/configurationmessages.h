// Messages by which processes exchange the configuration. The embedder maps these structs to its
// wire format. Any message may be lost, repeated, delayed or reordered.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiapier {

// Asks one peer for a ConfigurationReport. The peer echoes `token` and `incarnation`, from which
// the polling process knows that the report was made after the poll was sent.
struct ConfigurationPoll
{
    std::int64_t token = 0; // sender's clock when it sent, in microseconds; opaque to the peer
    std::uint64_t incarnation = 0; // incarnation of the sender
    std::uint64_t version = 0; // version in force at the sender
};

// Announces that a key is about to be withdrawn. The key is accepted again after `remaining` unless
// a version without it has arrived by then.
struct WithdrawalNotice
{
    std::string digest;
    Duration remaining{0}; // time for which the key is refused
};

// Answer to a ConfigurationPoll.
struct ConfigurationReport
{
    std::int64_t token = 0; // copied from the poll
    std::uint64_t incarnation = 0; // copied from the poll
    std::string sender; // member name of the sender
    std::uint64_t senderIncarnation = 0;
    std::uint64_t version = 0; // version in force at the sender
    std::uint64_t seenVersion = 0; // highest version examined, including rejected ones
    // Age of the latest time at which the table's version is known to have been at most
    // seenVersion; nullopt if there is none.
    std::optional<Duration> confirmedAge;
    bool canVouch = false; // the sender is a voter confirmed in this incarnation, see Confirmation
    std::string document; // document of `version` if the poll named a lower version, else empty
    std::vector<WithdrawalNotice> notices;
};

// Carries a committed version from the controller that committed it to every voter. The answer is
// the receiver's seenVersion; the controller counts it if it is at least `version`.
struct ConfigurationPush
{
    std::uint64_t version = 0;
    std::string document;
};

} // namespace sequoiapier
