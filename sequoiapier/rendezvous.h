// Rendezvous hashing: spreads resources over members so that a member that leaves or joins moves
// only its own part.
//
//   std::size_t owner = rendezvousPick("slots/pricing", memberNames);
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace sequoiapier {

// Index of the member for `resource`, independent of their order; members.size() if there is none.
// O(n).
std::size_t rendezvousPick(std::string_view resource, std::span<const std::string> members);

} // namespace sequoiapier
