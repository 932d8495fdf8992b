// MemberId: identifies one run of a process. A process that restarts has a new MemberId, even on
// the same address.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sequoiapier {

struct MemberId
{
    std::string name; // "gateway-1"
    std::uint64_t incarnation = 0; // increases with every start of the process

    auto operator<=>(const MemberId &) const = default;
};

// Formats a member as "name@incarnation", for example "gateway-1@17".
std::string toString(const MemberId &member);

} // namespace sequoiapier
