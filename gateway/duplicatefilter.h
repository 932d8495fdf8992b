// DuplicateFilter: one gateway's record of the non-idempotent requests that were sent, by the
// caller's identifier. It keeps a caller's own retry from running a second time.
//
//   DuplicateFilter filter({}, completeFrom);
//   const RequestDigest digest = requestDigest(team, queue, requestId);
//   switch (filter.checkAndRecord(digest, firstSent, now)) {
//   case DuplicateVerdict::New: ...      // recorded now: send the request
//   case DuplicateVerdict::Seen: ...     // refuse it: DuplicateRequest
//   case DuplicateVerdict::Unknown: ...  // refuse it: DuplicateRequest; its record may be lost
//   }
//   filter.forget(digest);               // the request certainly did not run: a retry may run
//
// `firstSent` is the time at which the caller first sent the request under this identifier: now
// minus the age given by the caller, or now if it gives none. The record is complete from
// completeFrom() on: a restarted gateway has no entries from before its start, and entries are
// dropped from a full record or after the retention time. A request first sent before
// completeFrom() is Seen or Unknown, never New.
//
// Each identifier has two home gateways (duplicatehomes.h) and is recorded at both before the
// request is sent. Memory: about 80 bytes per entry, bounded by maxEntries.
#pragma once

#include "sequoiapier/bootclock.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace sequoiapier {

// A 128-bit hash of team, queue and the caller's identifier.
struct RequestDigest
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const RequestDigest &) const = default;
};

RequestDigest requestDigest(std::string_view team, std::string_view queue,
                            std::string_view requestId);

enum class DuplicateVerdict : std::uint8_t {
    New, // the request was certainly not recorded before
    Seen, // the request was recorded before and may have run
    Unknown, // no entry, but the record does not reach back to the first send
};

class DuplicateFilter
{
public:
    struct Options
    {
        std::size_t maxEntries = 100'000;
        Duration retention = std::chrono::minutes(10);
    };

    // `completeFrom` is the time from which every other gateway records here the requests of which
    // this gateway is a home: the start of this process plus the time until the others know of it.
    DuplicateFilter(Options options, TimePoint completeFrom);

    // Records the request if the verdict is New. Amortized O(1).
    DuplicateVerdict checkAndRecord(const RequestDigest &digest, TimePoint firstSent,
                                    TimePoint now);
    // Removes a request that certainly did not run, so that its retry is New. O(1).
    void forget(const RequestDigest &digest);
    // Marks the record as incomplete up to `time`, because other gateways may have failed to record
    // here (this gateway was cut off).
    void markIncompleteUntil(TimePoint time);

    TimePoint completeFrom() const { return m_completeFrom; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct Hash
    {
        std::size_t operator()(const RequestDigest &digest) const { return digest.low; }
    };

    struct Recorded
    {
        RequestDigest digest;
        TimePoint at;
        std::uint64_t order = 0;
    };

    void dropOldest();

    Options m_options;
    TimePoint m_completeFrom;
    std::unordered_map<RequestDigest, std::uint64_t, Hash> m_entries; // values: Recorded::order
    std::deque<Recorded> m_byAge;
    std::uint64_t m_nextOrder = 0;
};

} // namespace sequoiapier
