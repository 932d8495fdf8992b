#include "jobs/ceilingparts.h"

#include "sequoiapier/boundedjson.h"
#include "sequoiapier/maxminshare.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

std::int64_t shareOf(const CeilingParts &parts, const std::string &pool)
{
    std::vector<ShareDemand> demands;
    std::size_t own = 0;
    for (const auto &[name, part] : parts.pools) {
        if (name == pool)
            own = demands.size();
        demands.push_back({.wanted = part.wanted});
    }
    return maxMinShare(WholeCeiling, demands)[own];
}

} // namespace

std::optional<CeilingParts> adjusted(const CeilingParts &parts, const std::string &pool,
                                     std::uint64_t epoch, std::int64_t wanted, std::int64_t inUse)
{
    CeilingParts next = parts;
    CeilingPart &own = next.pools[pool];
    if (own.epoch > epoch)
        return std::nullopt;
    own.epoch = epoch;
    own.wanted = std::clamp<std::int64_t>(wanted, 0, WholeCeiling);
    std::int64_t left = WholeCeiling;
    for (const auto &[name, part] : parts.pools) {
        if (name != pool)
            left -= part.part;
    }
    // The part covers what is in use until that has ended.
    const std::int64_t least = std::min(own.part, std::max<std::int64_t>(inUse, 0));
    own.part = std::clamp(std::max(shareOf(next, pool), least), std::int64_t(0),
                          std::max<std::int64_t>(left, 0));
    return next;
}

std::string encodeCeilingParts(const CeilingParts &parts)
{
    json document = json::object();
    for (const auto &[pool, part] : parts.pools)
        document[pool] = json::array({part.epoch, part.part, part.wanted});
    return document.dump();
}

Result<CeilingParts> parseCeilingParts(std::string_view bytes)
{
    const json document = parseJson(bytes);
    if (!document.is_object())
        return Error{ResultCode::RowMalformed, "malformed parts of a ceiling"};
    CeilingParts parts;
    try {
        for (const auto &[pool, row] : document.items()) {
            parts.pools[pool] = {.epoch = row.at(0).get<std::uint64_t>(),
                                 .part = row.at(1).get<std::int64_t>(),
                                 .wanted = row.at(2).get<std::int64_t>()};
        }
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
    return parts;
}

} // namespace sequoiapier::jobs
