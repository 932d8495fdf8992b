#include "sequoiapier/ownerchoice.h"

#include "sequoiapier/rendezvous.h"

#include <vector>

namespace sequoiapier {

namespace {

// A change of the owner stops a resource for a moment. Twice the load is worth that; a difference
// that the next change would turn around is not.
constexpr double LeastGain = 1.5;

double loadWithOneMore(const OwnerCandidate &member)
{
    return double(member.owned + 1) / member.capacity;
}

} // namespace

std::size_t leastLoaded(std::string_view resource, std::span<const OwnerCandidate> members)
{
    std::vector<std::size_t> best;
    std::vector<std::string> names; // of the best
    for (std::size_t i = 0; i < members.size(); ++i) {
        const double load = loadWithOneMore(members[i]);
        const double least = best.empty() ? load : loadWithOneMore(members[best.front()]);
        if (load > least)
            continue;
        if (load < least) {
            best.clear();
            names.clear();
        }
        best.push_back(i);
        names.push_back(members[i].name);
    }
    return best.empty() ? members.size() : best[rendezvousPick(resource, names)];
}

bool isWorthHandingOver(const OwnerCandidate &owner, const OwnerCandidate &other)
{
    return double(owner.owned) / owner.capacity > LeastGain * loadWithOneMore(other);
}

} // namespace sequoiapier
