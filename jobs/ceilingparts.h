// CeilingParts: divides a team's ceiling for the whole fleet among the pools that run its tasks.
// The row that holds the parts is changed by compare-and-set, so that the parts never add up to
// more than the ceiling.
//
//   CeilingParts parts = parseCeilingParts(row.value);
//   parts = adjusted(parts, "vanload", epoch, wanted, inUse);   // commit it over the row
//   Resources limit = ceiling * (double(parts.of("vanload")) / WholeCeiling);
//
// Parts are thousandths of the ceiling, so that they stay valid when the ceiling changes. A part
// belongs to the pool and not to the process that owns it, so that it survives a takeover. An
// earlier owner can't change a part that a later owner has claimed.
//
// Queues are busy in turns, so that the pool of the busy queue wants most of a team's ceiling and
// the other pools want little. Where the wants exceed the ceiling, each pool gets its max-min
// share.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier::jobs {

inline constexpr std::int64_t WholeCeiling = 1'000;

struct CeilingPart
{
    std::uint64_t epoch = 0; // Epoch of the owner that wrote the part last.
    std::int64_t part = 0; // Thousandths of the ceiling that the pool may use.
    std::int64_t wanted = 0; // Thousandths of the ceiling that the pool could use.

    bool operator==(const CeilingPart &) const = default;
};

struct CeilingParts
{
    std::map<std::string, CeilingPart> pools;

    std::int64_t of(const std::string &pool) const
    {
        const auto found = pools.find(pool);
        return found != pools.end() ? found->second.part : 0;
    }
    bool operator==(const CeilingParts &) const = default;
};

// Returns the row after `pool` has asked for `wanted` thousandths while it uses `inUse`; both may
// exceed the ceiling. Returns nullopt if a later owner has claimed the pool's part. The new part is
// the pool's max-min share of all wants, at least what is in use and at most what the other pools
// leave.
std::optional<CeilingParts> adjusted(const CeilingParts &parts, const std::string &pool,
                                     std::uint64_t epoch, std::int64_t wanted, std::int64_t inUse);

std::string encodeCeilingParts(const CeilingParts &parts);
// Returns RowMalformed if `bytes` were not written by encodeCeilingParts().
Result<CeilingParts> parseCeilingParts(std::string_view bytes);

} // namespace sequoiapier::jobs
