#include "jobs/joborder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace sequoiapier::jobs {
namespace {

using std::chrono::milliseconds;

const JobTerms Terms{.stretch = 1.6, .objectiveMilliseconds = 600};

Job job(std::uint32_t width)
{
    Job job{.id = "a", .queue = "quotes", .terms = Terms};
    job.spec.steps = {{.count = width, .size = {.processors = 3.5}}};
    job.occurrences[0] = makeOccurrence(job.spec);
    return job;
}

TEST(JobOrder, JobsThatCanBeInTimeComeBeforeLateOnes)
{
    JobOrder order({});
    order.recordRunTime("quotes", 1'000);
    const Job small = job(2);
    const Job large = job(20);
    const auto rank = [&](const Job &job, int age) { return order.rank(job, milliseconds(age)); };
    EXPECT_LT(rank(small, 0), rank(large, 0));
    EXPECT_LT(rank(large, 0), rank(small, 1'500)); // The objective is 2,200 ms.
    EXPECT_LT(rank(small, 1'500), rank(small, 1'900));
    EXPECT_TRUE(rank(small, 10'000).hasNoValue);
    EXPECT_LT(rank(small, 1'900), rank(large, 10'000));
}

TEST(JobOrder, WhatATeamSendsBeyondItsShareWaitsBehindLateJobsThatAreDue)
{
    JobOrder order({});
    order.recordRunTime("quotes", 1'000);
    const auto rank = [&](int age, bool isBeyondShare) {
        Job ranked = job(2);
        ranked.terms.isBeyondShare = isBeyondShare;
        return order.rank(ranked, milliseconds(age));
    };
    EXPECT_LT(rank(1'900, false), rank(0, true));
    EXPECT_LT(rank(0, true), rank(1'900, true));
    EXPECT_LT(rank(0, true), rank(10'000, false)); // The last job has no value left.
}

TEST(JobOrder, ChainFollowsTheStepsBefore)
{
    JobOrder order({});
    order.recordRunTime("quotes", 500);
    Job chained{.queue = "quotes"};
    chained.spec.steps = {{}, {.after = {0}}, {.after = {0}}, {.after = {1, 2}}};
    EXPECT_DOUBLE_EQ(order.totalCriticalPath(chained), 1'500);
    chained.occurrences[0] = makeOccurrence(chained.spec);
    chained.occurrences[0].steps[0].doneCount = 1;
    EXPECT_DOUBLE_EQ(order.remainingCriticalPath(chained), 1'000);
}

// Simulates 4 s of a queue at five times its mean, with room for 2.8 times the mean, and then a
// twentieth of the mean. A task takes 1 s in one of `Slots`. Returns the fraction of jobs in time.
double partInTime(bool isRanked)
{
    constexpr int Slots = 56;
    constexpr int StepMilliseconds = 50;
    JobOrder order({});
    order.recordRunTime("quotes", 1'000);
    std::mt19937 random(20261204);
    std::lognormal_distribution<double> width(1.6, 0.6);
    struct Waiting
    {
        Job job;
        int arrivedAt = 0;
        std::uint32_t started = 0;
        int finishedAt = -1;
    };
    std::vector<Waiting> jobs;
    std::vector<std::pair<int, std::size_t>> running; // End and index of the job.
    for (int now = 0; now < 16'000; now += StepMilliseconds) {
        const double perSecond = now < 4'000 ? 16 : 0.2;
        if (std::bernoulli_distribution(perSecond * StepMilliseconds / 1'000)(random)) {
            const double tasks = std::clamp(width(random), 1.0, 24.0);
            jobs.push_back({job(std::uint32_t(tasks)), now});
        }
        std::erase_if(running, [&](const auto &run) {
            if (run.first > now)
                return false;
            Waiting &done = jobs[run.second];
            const std::uint32_t count = ++done.job.occurrences[0].steps[0].doneCount;
            if (count == done.job.spec.steps[0].count)
                done.finishedAt = now;
            return true;
        });
        std::vector<std::size_t> queue;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            if (jobs[i].started < jobs[i].job.spec.steps[0].count)
                queue.push_back(i);
        }
        if (isRanked) {
            std::stable_sort(queue.begin(), queue.end(), [&](std::size_t a, std::size_t b) {
                const auto rank = [&](std::size_t i) {
                    return order.rank(jobs[i].job, milliseconds(now - jobs[i].arrivedAt));
                };
                return rank(a) < rank(b);
            });
        }
        for (const std::size_t i : queue) {
            while (jobs[i].started < jobs[i].job.spec.steps[0].count && running.size() < Slots) {
                ++jobs[i].started;
                running.emplace_back(now + 1'000, i);
            }
        }
    }
    const auto inTime = std::count_if(jobs.begin(), jobs.end(), [](const Waiting &waiting) {
        return waiting.finishedAt >= 0 && waiting.finishedAt - waiting.arrivedAt <= 2'200;
    });
    return double(inTime) / double(jobs.size());
}

TEST(JobOrder, MoreJobsAreInTimeInATurnOfFiveTimesTheMeanThanFirstComeFirstServed)
{
    EXPECT_GT(partInTime(true), partInTime(false));
}

} // namespace
} // namespace sequoiapier::jobs
