#include "jobs/workerquarantine.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

std::string hostName(int i)
{
    return "h" + std::to_string(i);
}

TEST(WorkerQuarantine, TakesOutTheWorkerThatFailsAllAndTriesItAgain)
{
    WorkerQuarantine quarantine({});
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 50; ++i)
            quarantine.record(hostName(i), i == 7 || (i + round) % 20 == 0, Start);
    }
    EXPECT_EQ(quarantine.hosts(Start), std::vector<std::string>{"h7"});
    EXPECT_TRUE(quarantine.hosts(Start + 20min).empty());
}

TEST(WorkerQuarantine, SparesAllWhenTheJobsAreToBlame)
{
    WorkerQuarantine quarantine({});
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 50; ++i)
            quarantine.record(hostName(i), round < 8, Start);
    }
    EXPECT_TRUE(quarantine.hosts(Start).empty());
}

TEST(WorkerQuarantine, NeverPassesItsCap)
{
    WorkerQuarantine quarantine({.maxFraction = 0.1, .maxHosts = 50});
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 60; ++i)
            quarantine.record(hostName(i), i < 9, Start);
    }
    EXPECT_EQ(quarantine.hosts(Start).size(), 5U);
}

} // namespace
} // namespace sequoiapier
