#include "gateway/upstreampicker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

std::vector<UpstreamRunner> makeRunners(std::size_t count, std::uint32_t slots)
{
    std::vector<UpstreamRunner> runners;
    for (std::size_t i = 0; i < count; ++i)
        runners.push_back({.name = "r" + std::to_string(i), .slots = slots});
    return runners;
}

void run(UpstreamPicker &picker, const std::string &name, UpstreamOutcome outcome, TimePoint now)
{
    picker.onStarted(name);
    picker.onEnded(name, outcome, now);
}

TEST(UpstreamPicker, LeavingRunnerGetsNothingNew)
{
    UpstreamPicker picker({}, 1);
    picker.setRunners(makeRunners(3, 8));
    picker.setLeaving("r0", true);
    run(picker, "r1", UpstreamOutcome::RefusedLeaving, Start);
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(picker.pick(Start), "r2");
        picker.onStarted("r2");
    }
    EXPECT_FALSE(picker.pick(Start));
    EXPECT_EQ(picker.pick(Start + 11s), "r1");
}

TEST(UpstreamPicker, FailingRunnerIsEjectedThenPutOnProbation)
{
    UpstreamPicker picker({.ejectAfter = 2, .maxEjectedFraction = 0.5}, 1);
    picker.setRunners(makeRunners(2, 8));
    run(picker, "r0", UpstreamOutcome::Failed, Start);
    EXPECT_FALSE(picker.isEjected("r0", Start));
    run(picker, "r0", UpstreamOutcome::Failed, Start);
    EXPECT_TRUE(picker.isEjected("r0", Start));
    EXPECT_EQ(picker.pick(Start, "r1"), "r1");
    const TimePoint later = Start + 5s;
    EXPECT_EQ(picker.pick(later, "r1"), "r0");
    picker.onStarted("r0");
    EXPECT_EQ(picker.pick(later, "r1"), "r1") << "one at a time on probation";
    picker.onEnded("r0", UpstreamOutcome::Failed, later);
    EXPECT_TRUE(picker.isEjected("r0", later + 9s)) << "twice as long the second time";
}

TEST(UpstreamPicker, RunnerThatDoesNotAnswerInTimeIsEjected)
{
    UpstreamPicker picker({.ejectAfter = 2, .maxEjectedFraction = 0.5}, 1);
    picker.setRunners(makeRunners(2, 8));
    for (int i = 0; i < 2; ++i) {
        picker.onStarted("r0");
        picker.onOverdue("r0", Start);
    }
    EXPECT_TRUE(picker.isEjected("r0", Start));
    EXPECT_EQ(picker.outstanding("r0"), 2U) << "they still run";
    const TimePoint later = Start + 6s;
    for (int i = 0; i < 2; ++i)
        picker.onEnded("r0", UpstreamOutcome::Inconclusive, later);
    EXPECT_FALSE(picker.isEjected("r0", later)) << "the late end says nothing new";
    EXPECT_EQ(picker.outstanding("r0"), 0U);
}

TEST(UpstreamPicker, RemovedRunnerIsForgottenAfterItsLastRequest)
{
    UpstreamPicker picker({}, 1);
    picker.setRunners(makeRunners(1, 8));
    picker.onStarted("r0");
    picker.setRunners({});
    EXPECT_FALSE(picker.pick(Start));
    EXPECT_EQ(picker.size(), 1U);
    picker.onEnded("r0", UpstreamOutcome::Answered, Start);
    EXPECT_EQ(picker.size(), 0U);
}

RC_GTEST_PROP(UpstreamPicker, KeepsWithinSlotsAndEjectedPart, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    UpstreamPicker picker({.ejectAfter = 1, .maxEjectedFraction = 0.4}, 7);
    picker.setRunners(makeRunners(count, 3));
    std::vector<std::string> running;
    TimePoint now = Start;
    for (int step = 0; step < 100; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        if (*rc::gen::arbitrary<bool>() || running.empty()) {
            if (const auto name = picker.pick(now)) {
                RC_ASSERT(picker.outstanding(*name) < 3U);
                RC_ASSERT(!picker.isEjected(*name, now));
                running.emplace_back(*name);
                picker.onStarted(running.back());
            }
        } else {
            const auto outcome = UpstreamOutcome(*rc::gen::inRange(0, 2));
            picker.onEnded(running.back(), outcome, now);
            running.pop_back();
        }
        double ejected = 0;
        for (std::size_t i = 0; i < count; ++i)
            ejected += picker.isEjected("r" + std::to_string(i), now) ? 1 : 0;
        RC_ASSERT(ejected <= 0.4 * double(count));
    }
}

// In a full service, the only free slot is found within as many tries as there are runners.
TEST(UpstreamPicker, RunnersThatRefusedAsBusyArePickedLast)
{
    UpstreamPicker picker({}, 1);
    picker.setRunners(makeRunners(10, 8));
    std::set<std::string> tried;
    for (int i = 0; i < 10; ++i) {
        const std::string name(*picker.pick(Start + i * 1ms));
        tried.insert(name);
        run(picker, name, UpstreamOutcome::RefusedBusy, Start + i * 1ms);
    }
    EXPECT_EQ(tried.size(), 10U);
    run(picker, "r7", UpstreamOutcome::Answered, Start + 11ms);
    EXPECT_EQ(picker.pick(Start + 11ms), "r7");
}

} // namespace
} // namespace sequoiapier
