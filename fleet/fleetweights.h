// FleetWeights: the setting that weighs the cost of surplus hosts, unmet need, moves and roll-out
// time against each other.
//
//   const FleetWeights *weights = findFleetProfile("association");
//
// The weights are prices in one unit: of a second of an idle host in a pool, of a second of a
// missing host, of a move, and of a second of a maintenance wave.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace sequoiapier {

struct FleetWeights
{
    std::string_view name;
    double buffer = 1; // price of a second of a host beyond its pool's need
    double share = 20; // price of a second of a host that a pool needs and lacks
    double move = 1; // price of moving one host to another pool
    double rollOut = 1; // price of a second of a maintenance wave
};

inline constexpr std::array<FleetWeights, 2> FleetProfiles{
    {{.name = "association", .buffer = 1, .share = 40, .move = 2, .rollOut = 1},
     {.name = "barometer-works", .buffer = 0.2, .share = 10, .move = 10, .rollOut = 4}}};

// Returns nullptr if there is no such profile.
inline const FleetWeights *findFleetProfile(std::string_view name)
{
    const auto *const found
        = std::find_if(FleetProfiles.begin(), FleetProfiles.end(),
                       [&](const FleetWeights &weights) { return weights.name == name; });
    return found != FleetProfiles.end() ? found : nullptr;
}

// Returns how many hosts a wave may have out at once, at most `limit`. Each host that is out needs
// a host elsewhere in its place, so roll-out time is weighed against the cost of surplus hosts.
inline std::uint32_t waveMaxOut(const FleetWeights &weights, std::uint32_t limit)
{
    const double fraction = weights.rollOut / (weights.rollOut + weights.buffer);
    return std::max(1U, std::uint32_t(std::lround(fraction * limit)));
}

} // namespace sequoiapier
