#include "net/loop.h"
#include "net/quiettimer.h"

#include <gtest/gtest.h>

#include <vector>

namespace sequoiapier {
namespace {

// Returns the number of checks until the timer fires. The hook reports activity for the first
// `activeChecks` checks, like sockets that are read one per loop iteration.
int checksUntilFired(int activeChecks, Duration quiet,
                     Duration untilDeadline = std::chrono::hours(1))
{
    Loop loop({});
    int checks = 0;
    QuietTimer timer(
        loop, [&] { return ++checks <= activeChecks; }, [&] { loop.stop(); });
    timer.start(quiet, BootClock::now() + untilDeadline);
    loop.run();
    return checks;
}

TEST(QuietTimer, FiresAfterQuietChecksOnly)
{
    // One check more than fits into the quiet time, right after a poll of the sockets.
    EXPECT_EQ(checksUntilFired(0, std::chrono::milliseconds(100)), 5);
    EXPECT_EQ(checksUntilFired(3, std::chrono::milliseconds(100)), 8);
    EXPECT_EQ(checksUntilFired(1, {}), 4) << "at least two checks, so that sockets are polled";
}

// Guards against losing a request that arrives while the loop sleeps before the last check, as
// happened in the test RollingReplacement.
TEST(QuietTimer, LastCheckFollowsAPollWithoutASleepBetween)
{
    Loop loop({});
    std::vector<TimePoint> checks;
    QuietTimer timer(
        loop,
        [&] {
            checks.push_back(BootClock::now());
            return false;
        },
        [&] { loop.stop(); });
    timer.start(std::chrono::milliseconds(100), BootClock::now() + std::chrono::hours(1));
    loop.run();
    ASSERT_GE(checks.size(), 2U);
    const Duration last = checks.back() - checks[checks.size() - 2];
    const Duration before = checks[checks.size() - 2] - checks[checks.size() - 3];
    EXPECT_LT(last, before / 2);
}

TEST(QuietTimer, FiresAtTheDeadlineInSpiteOfActivity)
{
    EXPECT_LT(checksUntilFired(1'000'000, {}, std::chrono::milliseconds(60)), 1'000'000);
}

} // namespace
} // namespace sequoiapier
