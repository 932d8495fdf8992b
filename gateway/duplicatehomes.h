// The two gateways that keep the record of an identifier, and what their verdicts add up to.
//
//   const DuplicateHomes homes = duplicateHomes(digest, reachableMembers);
//   // ask both, then:
//   if (combinedVerdict(verdicts) == DuplicateVerdict::New) send();
//
// Rendezvous hashing: every gateway works out the same homes from the same members, and a member
// that comes or goes moves only the identifiers that it is a home of.
#pragma once

#include "gateway/duplicatefilter.h"

#include <span>
#include <string_view>

namespace sequoiapier {

struct DuplicateHomes
{
    std::string_view first; // empty if there is no member
    std::string_view second; // empty if there is only one
};

// The two of `members` with the highest hash together with `digest`. The views are those of
// `members`. O(n), n about 10.
DuplicateHomes duplicateHomes(const RequestDigest &digest,
                              std::span<const std::string_view> members);

// Of the answers of all homes that recorded the request: Seen if one saw it; New if one with a
// complete record did not; else Unknown. Unknown for no answers.
DuplicateVerdict combinedVerdict(std::span<const DuplicateVerdict> verdicts);

} // namespace sequoiapier
