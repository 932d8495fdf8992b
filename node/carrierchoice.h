// Chooses the nodes that make an owner's calls to its runners.
//
//   std::size_t count = carrierCount(runnersOfFleet);
//   std::vector<std::string> carriers = chooseCarriers(self, candidates, count);
//
// A pool of 120 runners starts 1,000 tasks a second at its peak. The calls that this takes need
// more processor than the owner's host may have, while most other hosts are idle. In a small fleet,
// calls are faster without the extra hop.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct CarrierCandidate
{
    std::string name;
    double capacity = 1; // number of cores
};

// Returns the number of carriers of each owner; 0 if owners make their calls themselves. It depends
// on the size of the fleet, since the sizes of pools change within seconds, and each change of
// carriers costs new connections to the runners.
std::size_t carrierCount(std::size_t runnersOfFleet);

// Returns the names of at most `count` candidates, those with the most capacity first. Among equals
// each owner gets others, and a candidate that comes or goes changes one of them. O(n^2).
std::vector<std::string> chooseCarriers(std::string_view owner,
                                        std::span<const CarrierCandidate> candidates,
                                        std::size_t count);

} // namespace sequoiapier
