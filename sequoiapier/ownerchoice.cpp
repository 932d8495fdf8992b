#include "sequoiapier/ownerchoice.h"

#include "sequoiapier/rendezvous.h"

#include <algorithm>
#include <set>
#include <vector>

namespace sequoiapier {

namespace {

// Load ratio above which a resource is handed over. A change of owner interrupts the resource for a
// moment. Twice the load justifies that; a difference that the next change would reverse does not.
constexpr double MinLoadRatio = 1.5;

double loadWithOneMore(const OwnerCandidate &member)
{
    return double(member.owned + 1) / member.capacity;
}

} // namespace

std::size_t leastLoaded(std::string_view resource, std::span<const OwnerCandidate> members)
{
    std::vector<std::size_t> best;
    std::vector<std::string> names; // names of the members in `best`
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

std::vector<std::size_t> watchers(std::span<const std::string> resources,
                                  std::span<const std::size_t> owners,
                                  std::span<const OwnerCandidate> members)
{
    std::set<std::size_t> watching;
    std::vector<OwnerCandidate> successors; // candidates if all owners fail at once
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (std::find(owners.begin(), owners.end(), i) == owners.end())
            successors.push_back(members[i]);
        else
            watching.insert(i);
    }
    const auto indexOf = [&](std::string_view name) {
        const auto found = std::find_if(members.begin(), members.end(),
                                        [&](const auto &member) { return member.name == name; });
        return std::size_t(found - members.begin());
    };
    for (std::size_t r = 0; r < resources.size(); ++r) {
        std::vector<OwnerCandidate> others(members.begin(), members.end());
        if (owners[r] < members.size())
            others.erase(others.begin() + std::ptrdiff_t(owners[r]));
        if (!others.empty())
            watching.insert(indexOf(others[leastLoaded(resources[r], others)].name));
        if (successors.empty())
            continue;
        OwnerCandidate &successor = successors[leastLoaded(resources[r], successors)];
        ++successor.owned;
        watching.insert(indexOf(successor.name));
    }
    return {watching.begin(), watching.end()};
}

std::size_t mostLoaded(std::span<const OwnerCandidate> members)
{
    const auto isLess = [](const OwnerCandidate &a, const OwnerCandidate &b) {
        const double loadA = double(a.owned) / a.capacity;
        const double loadB = double(b.owned) / b.capacity;
        return loadA != loadB ? loadA < loadB : a.name > b.name;
    };
    return std::size_t(std::max_element(members.begin(), members.end(), isLess) - members.begin());
}

bool isWorthHandingOver(const OwnerCandidate &owner, const OwnerCandidate &other)
{
    return double(owner.owned) / owner.capacity > MinLoadRatio * loadWithOneMore(other);
}

} // namespace sequoiapier
