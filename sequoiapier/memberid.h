// MemberId: one run of a process. A process that restarts on the same address is another member.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sequoiapier {

struct MemberId
{
    std::string name; // "gateway-1"
    std::uint64_t incarnation = 0; // grows with every start of the process

    auto operator<=>(const MemberId &) const = default;
};

// "gateway-1@17"
std::string toString(const MemberId &member);

} // namespace sequoiapier
