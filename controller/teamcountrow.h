// TeamCountRow: how many jobs of a team are placed over the whole fleet, `jobteam/TEAM`.
//
// It is rewritten by every commit that answerIndexes jobs of the team or ends such, so that
// controllers that place jobs of one team at the same time conflict, and no ceiling is passed.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

struct TeamCount
{
    std::uint32_t placed = 0;
    std::uint64_t version = 0; // of the table row, 0: none
};

inline constexpr std::string_view TeamCountPrefix = "jobteam/";

std::string teamCountKey(std::string_view team);
std::string formatTeamCount(std::uint32_t placed);
Result<std::uint32_t> parseTeamCount(std::string_view text);

} // namespace sequoiapier
