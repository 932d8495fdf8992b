#include "gateway/duplicatefilter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

TEST(DuplicateFilter, RestartedRecordAnswersUnknownForEarlierRequests)
{
    DuplicateFilter filter({}, Start);
    const RequestDigest digest = requestDigest("depot", "settle", "17");
    EXPECT_EQ(filter.checkAndRecord(digest, Start - 1us, Start + 1s), DuplicateVerdict::Unknown);
    EXPECT_EQ(filter.checkAndRecord(digest, Start + 1s, Start + 1s), DuplicateVerdict::New);
    EXPECT_EQ(filter.checkAndRecord(digest, Start + 1s, Start + 2s), DuplicateVerdict::Seen);
}

TEST(DuplicateFilter, DigestSeparatesItsFields)
{
    EXPECT_NE(requestDigest("ab", "c", "1"), requestDigest("a", "bc", "1"));
}

// The retry of a request that was recorded and not forgotten is never New, even if its entry was
// dropped.
RC_GTEST_PROP(DuplicateFilter, NeverCallsARepeatNew, ())
{
    DuplicateFilter filter({.maxEntries = 4, .retention = 5s}, Start);
    std::map<std::uint64_t, TimePoint> firstSent;
    std::map<std::uint64_t, bool> mayHaveRun;
    TimePoint now = Start;
    for (int step = 0; step < 100; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
        const std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, 8);
        const RequestDigest digest{.low = id, .high = id};
        if (*rc::gen::inRange(0, 4) == 0) {
            filter.forget(digest);
            mayHaveRun[id] = false;
            continue;
        }
        const TimePoint sent = firstSent.try_emplace(id, now).first->second;
        const DuplicateVerdict verdict = filter.checkAndRecord(digest, sent, now);
        RC_ASSERT(!mayHaveRun[id] || verdict != DuplicateVerdict::New);
        if (verdict == DuplicateVerdict::New)
            mayHaveRun[id] = true;
        RC_ASSERT(filter.size() <= 4U);
    }
}

} // namespace
} // namespace sequoiapier
