#include "net/loop.h"
#include "net/quiettimer.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

// The hook stands for sockets that are read one a turn.
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
    EXPECT_EQ(checksUntilFired(0, std::chrono::milliseconds(100)), 4);
    EXPECT_EQ(checksUntilFired(3, std::chrono::milliseconds(100)), 7);
    EXPECT_EQ(checksUntilFired(1, {}), 3) << "at least two checks, so that sockets are polled";
}

TEST(QuietTimer, FiresAtTheDeadlineInSpiteOfActivity)
{
    EXPECT_LT(checksUntilFired(1'000'000, {}, std::chrono::milliseconds(60)), 1'000'000);
}

} // namespace
} // namespace sequoiapier
