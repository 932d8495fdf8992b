// QueueHome: the pool that accepts the new jobs of a queue, and the pools that may know earlier
// ones.
//
//   std::optional<QueueHome> next = claimed(parseQueueHome(row.value).value(), "roundsman", 8);
//   if (next) ...   // commit encodeQueueHome(*next) over the row
//
// An operator may send a queue to another service at any time, and a caller may repeat a request
// after that. The former pool knows the job and the new one does not. Therefore a pool accepts a
// queue's jobs only after it has claimed the queue here, by compare-and-set, and after each former
// pool has said that it does not know the job. A former pool that is asked accepts no more jobs of
// the queue, nor do its later owners, since they find the claim.
//
// Cost: one row for each queue, written when the queue is first used and when it is moved.
#pragma once

#include "sequoiapier/configuration.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

// Name of the queue to callers, in which a job's identifier is unique.
inline std::string queueAddress(const QueueConfig &queue)
{
    return queue.host + queue.pathPrefix;
}

struct QueueHome
{
    std::string pool; // Accepts new jobs of the queue.
    std::uint64_t configuration = 0; // Version by which the pool claimed the queue.
    std::vector<std::string> formerPools; // Accepted jobs of the queue before, in any order.

    bool operator==(const QueueHome &) const = default;
};

// Returns the row after `pool` has claimed the queue, as the given version of the configuration
// says. Returns nullopt if another pool has claimed it by the same or a newer version.
std::optional<QueueHome> claimed(const QueueHome &home, const std::string &pool,
                                 std::uint64_t configuration);

std::string encodeQueueHome(const QueueHome &home);
// Returns RowMalformed if `bytes` were not written by encodeQueueHome().
Result<QueueHome> parseQueueHome(std::string_view bytes);

} // namespace sequoiapier::jobs
