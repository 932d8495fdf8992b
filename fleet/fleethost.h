// FleetHost: a host of the fleet as the platform lists it.
#pragma once

#include <cstdint>
#include <string>

namespace sequoiapier {

enum class FleetHostState : std::uint8_t {
    Up,
    Moving, // on its way to another pool
    Maintenance,
    Down,
};

struct FleetHost
{
    std::string name;
    std::string pool;
    FleetHostState state = FleetHostState::Down;
    std::string zone;
    std::string rack;
    std::string runner; // name of the runner instance that takes tasks; empty if there is none
};

} // namespace sequoiapier
