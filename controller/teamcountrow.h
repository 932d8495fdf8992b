// TeamCountRow: the table row `jobteam/TEAM`, the number of placed jobs of a team in the whole
// fleet.
//
// Every commit that places jobs of the team or ends placed ones rewrites the row. Controllers that
// place jobs of one team at the same time therefore conflict, and no ceiling is exceeded.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

struct TeamCount
{
    std::uint32_t placed = 0;
    std::uint64_t version = 0; // Version of the table row; 0: no row.
};

inline constexpr std::string_view TeamCountPrefix = "jobteam/";

std::string teamCountKey(std::string_view team);
std::string formatTeamCount(std::uint32_t placed);
Result<std::uint32_t> parseTeamCount(std::string_view text);

} // namespace sequoiapier
