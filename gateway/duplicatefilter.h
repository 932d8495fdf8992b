// DuplicateFilter: one gateway's record of the non-idempotent requests that were sent, by the
// caller's identifier, so that a caller's own retry is not run a second time.
//
//   DuplicateFilter filter({}, recordFrom);
//   const RequestDigest digest = requestDigest(team, queue, requestId);
//   switch (filter.checkAndRecord(digest, firstSent, now)) {
//   case DuplicateVerdict::New: ...      // recorded now: send it
//   case DuplicateVerdict::Seen: ...     // refuse: DuplicateRequest
//   case DuplicateVerdict::Unknown: ...  // refuse: DuplicateRequest, the record may have been lost
//   }
//   filter.forget(digest);               // it certainly did not run: a retry may
//
// `firstSent` is when the caller first sent the request under this identifier (now less the age
// that it tells; now if it tells none). The record is complete from recordFrom() on: a restarted
// gateway has nothing from before its start, and a full or aged record has lost its oldest entries.
// A repeat from before that is Unknown, never New.
//
// Each identifier has two homes among the gateways (duplicatehomes.h), and is recorded at both
// before the send. Memory: about 80 bytes an entry, bounded by maxEntries.
#pragma once

#include "sequoiapier/bootclock.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace sequoiapier {

// 128-bit hash of team, queue and the caller's identifier.
struct RequestDigest
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const RequestDigest &) const = default;
};

RequestDigest requestDigest(std::string_view team, std::string_view queue,
                            std::string_view requestId);

enum class DuplicateVerdict : std::uint8_t {
    New, // certainly not recorded before
    Seen, // recorded before: it may have run
    Unknown, // not in the record, but the record does not reach back far enough
};

class DuplicateFilter
{
public:
    struct Options
    {
        std::size_t maxEntries = 100'000;
        Duration keepTime = std::chrono::minutes(10);
    };

    // `recordFrom`: from when on every other gateway records here what this one is a home of. That
    // is the start of this process plus the time in which the others learn of it.
    DuplicateFilter(Options options, TimePoint recordFrom);

    // Records the request unless it is there already. Amortized O(1).
    DuplicateVerdict checkAndRecord(const RequestDigest &digest, TimePoint firstSent,
                                    TimePoint now);
    // The request certainly did not run: its retry is a new one. O(1).
    void forget(const RequestDigest &digest);
    // Others may have failed to record here until now (this gateway was cut off).
    void onRecordMayMiss(TimePoint now);

    TimePoint recordFrom() const { return m_recordFrom; }
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
    TimePoint m_recordFrom;
    std::unordered_map<RequestDigest, std::uint64_t, Hash> m_entries; // to the order of recording
    std::deque<Recorded> m_byAge;
    std::uint64_t m_nextOrder = 0;
};

} // namespace sequoiapier
