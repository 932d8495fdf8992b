// What processes tell each other about the configuration. The embedder maps these structs to its
// wire; every one of them may be lost, repeated, delayed or reordered.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiapier {

// A question to one peer. The peer echoes `token` and `incarnation`, so that the asker knows that
// the report was made after the question was sent.
struct ConfigurationPoll
{
    std::int64_t token = 0; // the asker's clock at sending, in microseconds; opaque to the peer
    std::uint64_t incarnation = 0; // of the asker
    std::uint64_t version = 0; // in force at the asker
};

// A key that is about to be withdrawn. The notice lapses unless a version without the key arrives.
struct WithdrawalNotice
{
    std::string digest;
    Duration remaining{0}; // time for which the key is refused early
};

// The answer to a ConfigurationPoll.
struct ConfigurationReport
{
    std::int64_t token = 0; // echoed
    std::uint64_t incarnation = 0; // echoed
    std::string sender; // member name
    std::uint64_t senderIncarnation = 0;
    std::uint64_t version = 0; // in force at the sender
    std::uint64_t seenVersion = 0; // highest version examined, rejected ones included
    // Time since the table's version is known to have been at most seenVersion; nullopt: never.
    std::optional<Duration> confirmedAge;
    bool canVouch = false; // a voter that has confirmed in this incarnation, see Confirmation
    std::string document; // of `version`, if the asker's version is lower; else empty
    std::vector<WithdrawalNotice> notices;
};

// A committed version, sent to every voter at once by the controller that committed it. The answer
// is the receiver's seenVersion; the controller counts it if it is at least `version`.
struct ConfigurationPush
{
    std::uint64_t version = 0;
    std::string document;
};

} // namespace sequoiapier
