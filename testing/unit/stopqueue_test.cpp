#include "controller/stopqueue.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

StopRequest request(int i, const std::string &team)
{
    return {.job = team + std::to_string(i), .team = team, .host = "h" + std::to_string(i % 50)};
}

TEST(StopQueue, TenThousandOfOneTeamDoNotDelayAnother)
{
    StopQueue queue({.maxPerTick = 200});
    for (int i = 0; i < 10'000; ++i)
        ASSERT_TRUE(queue.add(request(i, "large")));
    for (int i = 0; i < 50; ++i)
        ASSERT_TRUE(queue.add(request(i, "small")));
    std::map<char, int> counts;
    for (const StopCommand &command : queue.tick(Start))
        ++counts[command.job.front()];
    EXPECT_EQ(counts['s'], 50);
    EXPECT_EQ(counts['l'], 150);
    std::set<std::string> stopped;
    for (TimePoint now = Start; queue.size() > 0 && now < Start + 60s; now += 1s) {
        const std::vector<StopCommand> commands = queue.tick(now);
        EXPECT_LE(commands.size(), 200U);
        for (const StopCommand &command : commands) {
            stopped.insert(command.job);
            queue.confirmStop(command.job);
        }
    }
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_EQ(stopped.size(), 10'050U);
}

TEST(StopQueue, StopsAfterTheCheckpointOrItsDeadline)
{
    StopQueue queue({.maxCheckpoints = 1, .repeatInterval = 5s});
    for (const int i : {0, 50}) {
        StopRequest stop = request(i, "a");
        stop.needsCheckpoint = true;
        stop.checkpointDeadline = Start + 20s;
        ASSERT_TRUE(queue.add(stop));
    }
    const std::vector<StopCommand> first = queue.tick(Start);
    ASSERT_EQ(first.size(), 1U) << "one checkpoint at a time on a host";
    EXPECT_EQ(first.front().action, StopAction::Checkpoint);
    EXPECT_TRUE(queue.tick(Start + 1s).empty());
    EXPECT_EQ(queue.tick(Start + 6s).size(), 1U) << "repeated until confirmed";
    queue.confirmCheckpoint(first.front().job);
    std::map<std::string, StopAction> next;
    for (const StopCommand &command : queue.tick(Start + 7s))
        next[command.job] = command.action;
    EXPECT_EQ(next,
              (std::map<std::string, StopAction>{{"a0", StopAction::Stop},
                                                 {"a50", StopAction::Checkpoint}}));
    queue.confirmStop("a0");
    const std::vector<StopCommand> late = queue.tick(Start + 20s);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late.front().action, StopAction::Stop);
}

TEST(StopQueue, RefusesPastItsBoundAndTakesAJobOnce)
{
    StopQueue queue({.maxQueued = 1});
    ASSERT_TRUE(queue.add(request(1, "a")));
    EXPECT_TRUE(queue.add(request(1, "a")));
    const Result<void> refused = queue.add(request(2, "a"));
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, ResultCode::CapacityExceeded);
    EXPECT_EQ(queue.tick(Start).size(), 1U);
    EXPECT_TRUE(queue.tick(Start + 1s).empty());
}

} // namespace
} // namespace sequoiapier
