// Rendezvous hashing: assigns resources to members so that a member that joins or leaves moves only
// its own resources.
//
//   std::size_t owner = rendezvousPick("slots/pricing", memberNames);
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace sequoiapier {

// Returns the index of the member for `resource`, or members.size() if there are no members. The
// member chosen does not depend on the order of `members`. O(n).
std::size_t rendezvousPick(std::string_view resource, std::span<const std::string> members);

} // namespace sequoiapier
