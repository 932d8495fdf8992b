#include "node/carrierchoice.h"

#include "sequoiapier/rendezvous.h"

#include <algorithm>

namespace sequoiapier {

namespace {

// A host of a quarter of a core serves the peak of a pool in such a fleet alone.
constexpr std::size_t MaxDirectRunners = 100;
// A pool has up to a quarter of the fleet at its peak.
constexpr std::size_t RunnersPerCarrier = 120;
constexpr std::size_t MaxCarriers = 8; // Each costs the owner some messages a second.

} // namespace

std::size_t carrierCount(std::size_t runnersOfFleet)
{
    if (runnersOfFleet <= MaxDirectRunners)
        return 0;
    return std::min((runnersOfFleet + RunnersPerCarrier - 1) / RunnersPerCarrier, MaxCarriers);
}

std::vector<std::string> chooseCarriers(std::string_view owner,
                                        std::span<const CarrierCandidate> candidates,
                                        std::size_t count)
{
    std::vector<CarrierCandidate> left(candidates.begin(), candidates.end());
    std::vector<std::string> chosen;
    while (chosen.size() < count && !left.empty()) {
        const auto largest
            = std::max_element(left.begin(), left.end(), [](const auto &a, const auto &b) {
                  return a.capacity < b.capacity;
              });
        std::vector<std::string> equals;
        for (const CarrierCandidate &candidate : left) {
            if (candidate.capacity == largest->capacity)
                equals.push_back(candidate.name);
        }
        const std::string name = equals[rendezvousPick(owner, equals)];
        chosen.push_back(name);
        std::erase_if(left, [&](const CarrierCandidate &c) { return c.name == name; });
    }
    return chosen;
}

} // namespace sequoiapier
