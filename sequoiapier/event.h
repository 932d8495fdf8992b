// Event: one entry of the time line that spans all processes.
//
// Events are ordered causally by hybrid logical time: a receiver's clock is moved past the time
// carried by each message, so that an effect never sorts before its cause.
#pragma once

#include <cstdint>
#include <string>

namespace sequoiapier {

// Wall clock in microseconds, with a counter that breaks ties and carries causality.
struct HybridTime
{
    std::int64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

struct Event
{
    HybridTime time;
    std::string process; // member identifier, "gateway-1"
    std::string zone;
    std::string kind; // dotted, "lease.granted"
    std::string subject; // what it is about, "slots/pricing-3"
    std::uint64_t epoch = 0; // ownership epoch or configuration version, 0 if none
    std::string cause; // request identifier or event that led to it, may be empty
    std::string detail;
};

} // namespace sequoiapier
