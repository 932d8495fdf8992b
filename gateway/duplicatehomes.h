// Chooses the two home gateways that record an identifier, and combines their verdicts.
//
//   const DuplicateHomes homes = duplicateHomes(digest, reachableMembers);
//   // ask both, then:
//   if (combinedVerdict(verdicts) == DuplicateVerdict::New) send();
//
// Rendezvous hashing: every gateway computes the same homes from the same members, and a member
// that joins or leaves moves only the identifiers of which it is a home.
#pragma once

#include "gateway/duplicatefilter.h"

#include <span>
#include <string_view>

namespace sequoiapier {

struct DuplicateHomes
{
    std::string_view first; // empty if there is no member
    std::string_view second; // empty if there is only one member
};

// Returns the two `members` whose names hash highest together with `digest`. The views in the
// result are elements of `members`. O(n), with n about 10.
DuplicateHomes duplicateHomes(const RequestDigest &digest,
                              std::span<const std::string_view> members);

// Combines the verdicts of all homes that answered: Seen if any home has seen the request; else New
// if any home with a complete record has not; else Unknown, also without any verdict.
DuplicateVerdict combinedVerdict(std::span<const DuplicateVerdict> verdicts);

} // namespace sequoiapier
