// Chooses the owner of each resource, for resources whose owner is costly to change.
//
//   std::vector<OwnerCandidate> members = ...;       // live members with their resource counts
//   std::size_t next = leastLoaded("pool/pricing", members);
//   if (isWorthHandingOver(members[self], members[next])) ...
//
// Intended for a few heavy resources on many small hosts and some larger ones, where hashing alone
// gives one small host two resources while large hosts own none.
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
    double capacity = 1; // greater than 0, in any unit common to all members
    std::size_t owned = 0; // number of resources that it owns
    bool isWatching = true; // renews at the short interval, so its failure is detected early
};

// Index of the member that would have the lowest load relative to its capacity with one more
// resource, in O(n). Ties are broken by rendezvous hashing. Returns members.size() if `members` is
// empty.
std::size_t leastLoaded(std::string_view resource, std::span<const OwnerCandidate> members);

// Ascending indices of the members that must detect the failure of an owner early: the owners, the
// successors of each owner, and the successors if all owners fail at once. `owners` holds the index
// of each resource's owner, or members.size() if it has none. Cost: O(r m log m) for r resources
// and m members.
std::vector<std::size_t> watchers(std::span<const std::string> resources,
                                  std::span<const std::size_t> owners,
                                  std::span<const OwnerCandidate> members);

// Index of the member with the highest load relative to its capacity; the first one by name on a
// tie. Only this member hands resources over, so that several members don't hand resources over to
// the same member at once.
std::size_t mostLoaded(std::span<const OwnerCandidate> members);

// Whether the load of `owner` is clearly higher than that of `other` with one more resource.
bool isWorthHandingOver(const OwnerCandidate &owner, const OwnerCandidate &other);

} // namespace sequoiapier
