// Event: one entry of the timeline that spans all processes.
//
// Events are ordered causally by hybrid logical time: a receiver advances its clock past the time
// carried by each message, so that an effect never sorts before its cause.
#pragma once

#include <cstdint>
#include <string>

namespace sequoiapier {

// Wall clock time in microseconds, with a counter that orders events of the same microsecond and
// keeps causal order where wall clocks differ.
struct HybridTime
{
    std::int64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

struct Event
{
    HybridTime time;
    std::string process; // member identifier, such as "gateway-1"
    std::string zone;
    std::string kind; // dotted name, such as "lease.granted"
    std::string subject; // object of the event, such as "slots/pricing-3"
    std::uint64_t epoch = 0; // ownership epoch or configuration version, 0 if none
    std::string cause; // identifier of the request or event that caused this one; may be empty
    std::string detail;
};

} // namespace sequoiapier
