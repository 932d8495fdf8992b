// CeilingParts: divides a team's ceiling for the whole fleet among the pools that run its tasks.
// The row that holds the parts is changed by compare-and-set, so that the parts never add up to
// more than the ceiling.
//
//   CeilingParts parts = parseCeilingParts(row.value);
//   parts = adjusted(parts, "vanload", epoch, need, inUse);   // commit it over the row
//   Resources limit = ceiling * (double(limitOf(parts, "vanload")) / WholeCeiling);
//
// Parts are thousandths of the ceiling, so that they stay valid when the ceiling changes. A part
// belongs to the pool and not to the process that owns it, so that it survives a takeover. An
// earlier owner can't change a part that a later owner has claimed.
//
// Queues are busy in turns, so that the pool of the busy queue wants most of a team's ceiling and
// the other pools want little. Where the needs exceed the ceiling, each pool gets its max-min
// share.
//
// A part into which no waiting task fits is of no use to its pool. Where the max-min shares are too
// small, the pools that have waited longest get a part for one more task each, and the others leave
// what they do not use. A pool whose hosts are full can't use a larger part now, so that it gets
// only what the other pools don't need.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier::jobs {

inline constexpr std::int64_t WholeCeiling = 1'000;

// What a pool asks for, in thousandths of the ceiling.
struct CeilingNeed
{
    std::int64_t wanted = 0; // For the tasks that run and all that wait.
    std::int64_t needed = 0; // For the tasks that run and those that wait and have room on a host.
    // For the lasting tasks and the smallest one that has room and waits only for the ceiling; a
    // gang counts as one. 0 if there is none, or if other tasks of the team run in the pool.
    std::int64_t least = 0;
    std::int64_t lasting = 0; // In use by tasks that run until their job is cancelled.
    std::int64_t waitingSince
        = 0; // Unix milliseconds since which the part is below `least`; 0: not.

    bool operator==(const CeilingNeed &) const = default;
};

struct CeilingPart
{
    std::uint64_t epoch = 0; // Epoch of the owner that wrote the part last.
    std::int64_t part = 0; // Thousandths of the ceiling that the pool may use.
    CeilingNeed need;

    // Returns whether the pool could start a task at once with a larger part.
    bool isShort() const { return part < need.needed || part < need.least; }
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

// Returns the row after `pool`, which uses `inUse` thousandths, has asked for `need`; its figures
// may exceed the ceiling. Returns nullopt if a later owner has claimed the pool's part. The new
// part is at least what is in use and at most what the other pools leave.
std::optional<CeilingParts> adjusted(const CeilingParts &parts, const std::string &pool,
                                     std::uint64_t epoch, const CeilingNeed &need,
                                     std::int64_t inUse);

// Returns the thousandths up to which the pool may start tasks: its part, or what its share of the
// needs is now if that is less. The part follows once tasks have ended.
std::int64_t limitOf(const CeilingParts &parts, const std::string &pool);

// Returns whether the pool's new entry tells the other pools enough more than the old one to be
// written: another part, an owner that has claimed it, or a need that changes their shares.
bool isWorthWriting(const CeilingPart &old, const CeilingPart &next);

std::string encodeCeilingParts(const CeilingParts &parts);
// Returns RowMalformed if `bytes` were not written by encodeCeilingParts().
Result<CeilingParts> parseCeilingParts(std::string_view bytes);

} // namespace sequoiapier::jobs
