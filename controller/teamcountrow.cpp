#include "controller/teamcountrow.h"

#include <charconv>

namespace sequoiapier {

std::string teamCountKey(std::string_view team)
{
    return std::string(TeamCountPrefix) + std::string(team);
}

std::string formatTeamCount(std::uint32_t placed)
{
    return std::to_string(placed);
}

Result<std::uint32_t> parseTeamCount(std::string_view text)
{
    std::uint32_t placed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), placed);
    if (error != std::errc() || end != text.data() + text.size())
        return Error{ResultCode::RowMalformed, "team count is no number"};
    return placed;
}

} // namespace sequoiapier
