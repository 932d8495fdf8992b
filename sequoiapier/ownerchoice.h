// Which member is to own a resource whose owner is costly to change.
//
//   std::vector<OwnerCandidate> members = ...;       // those alive, with what they own now
//   std::size_t next = leastLoaded("pool/pricing", members);
//   if (isWorthHandingOver(members[self], members[next])) ...
//
// Load that it answers: a few heavy resources over many small hosts and some larger ones. Hashing
// alone gives one small host two of them while large hosts own none.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace sequoiapier {

struct OwnerCandidate
{
    std::string name;
    double capacity = 1; // above 0, in any unit common to all members
    std::size_t owned = 0; // resources
};

// Index of the member that would have the least load for its capacity with one resource more;
// rendezvous hashing decides between equal ones. members.size() if there is none. O(n).
std::size_t leastLoaded(std::string_view resource, std::span<const OwnerCandidate> members);

// Whether the load of `owner` is clearly above that of `other` with one resource more.
bool isWorthHandingOver(const OwnerCandidate &owner, const OwnerCandidate &other);

} // namespace sequoiapier
