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
#include <vector>

namespace sequoiapier {

struct OwnerCandidate
{
    std::string name;
    double capacity = 1; // above 0, in any unit common to all members
    std::size_t owned = 0; // resources
    bool isWatching = true; // renews often, so that its death is seen soon
};

// Index of the member that would have the least load for its capacity with one resource more;
// rendezvous hashing decides between equal ones. members.size() if there is none. O(n).
std::size_t leastLoaded(std::string_view resource, std::span<const OwnerCandidate> members);

// Members that must see soon when an owner dies: the owners, those that would take over from one of
// them, and those that would if all of them died at once. Indices, ascending. O(r m log m) for r
// resources; `owners` are the indices of the resources' owners, members.size() for none.
std::vector<std::size_t> watchers(std::span<const std::string> resources,
                                  std::span<const std::size_t> owners,
                                  std::span<const OwnerCandidate> members);

// Index of the member with the most load for its capacity, the first by name among equal ones. Only
// it hands resources over, so that several don't do so at once to the same member.
std::size_t mostLoaded(std::span<const OwnerCandidate> members);

// Whether the load of `owner` is clearly above that of `other` with one resource more.
bool isWorthHandingOver(const OwnerCandidate &owner, const OwnerCandidate &other);

} // namespace sequoiapier
