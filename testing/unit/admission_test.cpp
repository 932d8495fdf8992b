#include "jobs/admission.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiapier::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Runners = 10;

// A job of one step that takes a second on one runner. Its objective is 2.2 s, its limit 6.6 s.
Admission::Request job(const std::string &id)
{
    return {.id = id,
            .queue = "queue",
            .team = "team",
            .load = {.work = 1'000, .runnerSeconds = 1},
            .pathSeconds = 1,
            .objectiveSeconds = 2.2,
            .limitSeconds = 6.6};
}

// The pool of most tests can't grow, so that a backlog counts once it has lasted for two seconds.
class AdmissionTest : public testing::Test
{
protected:
    explicit AdmissionTest(const Admission::Options &options = {.growthTime = {}})
        : m_admission(options)
    {
        m_admission.start(m_now);
        for (int i = 0; i < 20; ++i)
            m_admission.recordRunTime("queue", 1);
    }

    // Shows a backlog of late work and lets the time pass, with a snapshot every 100 ms.
    void show(double runnerSeconds, Duration duration, Admission::Load load = {.isLate = true},
              const std::string &team = "other")
    {
        load.runnerSeconds = runnerSeconds;
        for (const TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(100))
            snapshot(load, team);
        snapshot(load, team);
    }

    void snapshot(const Admission::Load &load, const std::string &team)
    {
        m_admission.beginSnapshot(m_room, m_now);
        if (load.runnerSeconds > 0)
            m_admission.addBacklog(team, load);
        m_admission.endSnapshot(0, m_now);
    }

    bool accepts(const Admission::Request &request)
    {
        return m_admission.decide(request, m_now).isAccepted;
    }

    Admission m_admission;
    TimePoint m_now{seconds(1'000)};
    Admission::Room m_room{.runners = Runners, .haveAllAnswered = true};
    // Work in time that ranks before job(), so that the job will be late.
    Admission::Load m_inTime{.work = 500};
};

// Guards against acceptance of a job that will have no value.
TEST_F(AdmissionTest, JobThatWouldEndAfterItsLimitIsRefused)
{
    show(80, seconds(3), m_inTime);
    const Admission::Decision decision = m_admission.decide(job("a"), m_now);
    EXPECT_FALSE(decision.isAccepted);
    EXPECT_NEAR(decision.predictedSeconds, 9, 0.1); // 80 runner-seconds on 10 runners, and itself.
    EXPECT_DOUBLE_EQ(decision.limitSeconds, 6.6);
    EXPECT_DOUBLE_EQ(decision.backlog, 80);
    EXPECT_DOUBLE_EQ(decision.runners, Runners);
    EXPECT_EQ(m_admission.counts().refused, 1U);
}

// Guards against refusal of a job that still has some value when it ends.
TEST_F(AdmissionTest, JobThatWouldBeLateButWithinItsLimitIsAccepted)
{
    show(50, seconds(3), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
    EXPECT_EQ(m_admission.counts().accepted, 1U);
}

// Guards against refusals for work that is done after the job.
TEST_F(AdmissionTest, JobInTimeBeforeLargerLaterAndLowerWorkIsAccepted)
{
    show(500, seconds(3), {.isLate = true});
    EXPECT_TRUE(accepts(job("late")));
    show(500, seconds(3), {.work = 100'000});
    EXPECT_TRUE(accepts(job("larger")));
    show(500, seconds(3), {.priority = 1, .work = 500});
    EXPECT_TRUE(accepts(job("lower priority")));
    show(500, seconds(3), {.isBeyondShare = true, .work = 500});
    EXPECT_TRUE(accepts(job("beyond share")));
}

// Guards against acceptance because work of higher priority, or that of the teams within their
// shares, is overlooked.
TEST_F(AdmissionTest, WorkOfHigherPriorityAndWithinTheSharesCounts)
{
    show(100, seconds(3), {.priority = 0, .work = 100'000});
    Admission::Request low = job("low");
    low.load.priority = 1;
    EXPECT_FALSE(accepts(low));
    Admission::Request beyond = job("beyond");
    beyond.load.isBeyondShare = true;
    EXPECT_FALSE(accepts(beyond));
    EXPECT_TRUE(accepts(job("within")));
}

// Guards against refusals for a peak that the pool absorbs, however high it is.
TEST_F(AdmissionTest, BacklogIsNoReasonUntilItHasLastedTwoSeconds)
{
    show(500, milliseconds(1'900), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
    show(500, milliseconds(200), m_inTime);
    EXPECT_FALSE(accepts(job("b")));
}

class GrowingPool : public AdmissionTest
{
protected:
    GrowingPool()
        : AdmissionTest(Admission::Options{})
    { }
};

// Guards against refusals at the beginning of a peak: on a calm day a pool that was small between
// two peaks refused 1.7% of all jobs while further hosts were on their way to it.
TEST_F(GrowingPool, RefusesNothingBeforeHostsCanHaveArrived)
{
    show(500, milliseconds(3'900), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
    show(500, milliseconds(200), m_inTime);
    EXPECT_FALSE(accepts(job("b")));
}

// Guards against refusals while hosts arrive one after the other, and against a pool that never
// refuses because its number of runners changes a little.
TEST_F(GrowingPool, RefusesNothingUntilItHasStoppedGrowing)
{
    show(500, seconds(3), m_inTime);
    m_room.runners *= 1.2;
    show(600, milliseconds(3'900), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
    m_room.runners *= 1.02;
    show(600, milliseconds(200), m_inTime);
    EXPECT_FALSE(accepts(job("b")));
}

// Guards against refusals of a team's jobs for a short peak of that team.
TEST_F(AdmissionTest, BacklogOfATeamIsNoReasonUntilItHasLastedTwoSeconds)
{
    Admission::Request capped = job("a");
    capped.load.teamSeconds = 1;
    show(10, milliseconds(1'900), {.work = 500, .teamSeconds = 8}, "team");
    EXPECT_TRUE(accepts(capped));
    show(10, milliseconds(200), {.work = 500, .teamSeconds = 8}, "team");
    EXPECT_FALSE(accepts(capped));
}

TEST_F(AdmissionTest, BacklogOfTwoSecondsIsNoReason)
{
    show(2 * Runners, seconds(10), m_inTime);
    Admission::Request urgent = job("a");
    urgent.objectiveSeconds = 0.5;
    urgent.limitSeconds = 1.5;
    EXPECT_TRUE(accepts(urgent));
}

// Guards against refusals by an owner that knows neither its runners nor the run times.
TEST_F(AdmissionTest, NewOwnerRefusesNothingBeforeItsRunnersHaveAnswered)
{
    m_room.haveAllAnswered = false;
    show(500, seconds(3), m_inTime);
    m_admission.start(m_now);
    EXPECT_TRUE(accepts(job("a")));
    show(500, seconds(2), m_inTime);
    EXPECT_FALSE(accepts(job("b")));
    Admission::Request unknown = job("c");
    unknown.queue = "unknown run times";
    EXPECT_TRUE(accepts(unknown));
}

// Guards against refusals for a lack of runners that the owner can't know.
TEST_F(AdmissionTest, NothingIsRefusedWithoutKnownRunners)
{
    m_room.runners = 0;
    show(500, seconds(5), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
}

// Guards against refusals from what was known before a pause of the process.
TEST_F(AdmissionTest, NothingIsRefusedAfterAPause)
{
    show(500, seconds(5), m_inTime);
    m_now += seconds(5);
    EXPECT_TRUE(accepts(job("a")));
    show(500, seconds(1), m_inTime);
    EXPECT_TRUE(accepts(job("b"))) << "it is not known how long the backlog has lasted";
}

TEST_F(AdmissionTest, NothingIsRefusedIfOff)
{
    m_admission = Admission({.isOn = false});
    m_admission.start(m_now);
    m_admission.recordRunTime("queue", 1);
    show(500, seconds(5), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
}

// Guards against a delayed duplicate of a refused call that is accepted right after the refusal.
TEST_F(AdmissionTest, RepeatBeforeTheReturnTimeIsRefusedWithoutADecision)
{
    show(80, seconds(3), m_inTime);
    const Admission::Decision refused = m_admission.decide(job("a"), m_now);
    ASSERT_FALSE(refused.isAccepted);
    EXPECT_GE(refused.retryAfter, seconds(1));
    EXPECT_LE(refused.retryAfter, seconds(30));
    EXPECT_EQ(refused.retryAfter % seconds(1), Duration{}) << "whole seconds";
    EXPECT_EQ(m_admission.repeatedRefusal("a", m_now), refused.retryAfter);
    EXPECT_FALSE(m_admission.repeatedRefusal("b", m_now));
    m_now += refused.retryAfter;
    EXPECT_FALSE(m_admission.repeatedRefusal("a", m_now));
}

// Guards against a returning job that is ordered as if it had never waited, also if it is refused
// several times.
TEST_F(AdmissionTest, ReturningJobKeepsTheTimeOfItsFirstRefusal)
{
    show(80, seconds(3), m_inTime);
    const TimePoint first = m_now;
    ASSERT_FALSE(accepts(job("a")));
    show(80, seconds(31), m_inTime);
    ASSERT_FALSE(accepts(job("a")));
    show(0, seconds(25));
    const Admission::Decision returned = m_admission.decide(job("a"), m_now);
    EXPECT_TRUE(returned.isAccepted);
    EXPECT_EQ(returned.firstRefusedAt, first);
    EXPECT_EQ(m_admission.refusalCount(), 0U);
}

// Guards against refused callers that return all at once.
TEST_F(AdmissionTest, ReturnTimesFollowTheCapacity)
{
    show(80, seconds(3), m_inTime);
    std::map<Duration, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[m_admission.decide(job(std::to_string(i)), m_now).retryAfter];
    for (const auto &[time, count] : counts)
        EXPECT_LE(count, Runners + 1) << time.count();
}

// Guards against memory that grows with the number of refused jobs, and against refusals that are
// remembered for ever.
TEST_F(AdmissionTest, RememberedRefusalsAreBounded)
{
    show(80, seconds(3), m_inTime);
    for (int i = 0; i < 20'000; ++i)
        m_admission.decide(job(std::to_string(i)), m_now);
    EXPECT_EQ(m_admission.refusalCount(), Admission::Options().maxRefusals);
    for (int i = 0; i < 20'000; ++i)
        m_admission.decide(job("again"), m_now);
    EXPECT_LE(m_admission.refusalCount(), Admission::Options().maxRefusals);
    show(80, seconds(61), m_inTime);
    EXPECT_EQ(m_admission.refusalCount(), 0U);
}

// Guards against a prediction error that makes admission refuse more and more: only ends that came
// earlier than predicted correct it.
TEST_F(AdmissionTest, LearnedErrorOnlyAdmitsMore)
{
    const auto end = [&](double secondsAfterPrediction) {
        for (int i = 0; i < 100; ++i)
            m_admission.recordEnd({.queue = "queue", .team = "team", .endAt = m_now},
                                  m_now + milliseconds(int(1'000 * secondsAfterPrediction)));
    };
    end(5);
    show(50, seconds(3), m_inTime);
    EXPECT_TRUE(accepts(job("a")));
    show(80, seconds(3), m_inTime);
    EXPECT_FALSE(accepts(job("b")));
    end(-5);
    EXPECT_TRUE(accepts(job("c")));
}

// Guards against wrong decisions that nobody sees.
TEST_F(AdmissionTest, WrongDecisionsAreCountedOnce)
{
    show(80, seconds(3), m_inTime);
    ASSERT_FALSE(accepts(job("a")));
    show(0, seconds(1));
    EXPECT_EQ(m_admission.counts().refusedRoomCame, 1U);
    show(80, seconds(3), m_inTime);
    ASSERT_FALSE(accepts(job("b")));
    show(80, seconds(7), m_inTime);
    show(0, seconds(1));
    EXPECT_EQ(m_admission.counts().refusedRoomCame, 1U) << "the room came too late";
    m_admission.recordEnd({.queue = "queue", .team = "team", .endAt = m_now, .limitAt = m_now},
                          m_now + seconds(1));
    EXPECT_EQ(m_admission.counts().acceptedLate, 1U);
    EXPECT_EQ(m_admission.groupCounts().at({"queue", "team"}).refused, 2U);
}

// Guards against a team's own backlog that is overlooked because the pool has room, and against one
// that makes the pool refuse the jobs of other teams.
TEST_F(AdmissionTest, BacklogOfATeamCountsAgainstItsCeiling)
{
    show(1'000, seconds(3), {.isLate = false, .work = 500, .teamSeconds = 8}, "team");
    Admission::Request capped = job("a");
    capped.load.teamSeconds = 1;
    EXPECT_FALSE(accepts(capped));
    m_admission.beginSnapshot(m_room, m_now);
    for (int i = 0; i < 100; ++i)
        m_admission.addBacklog("team", {.work = 500, .runnerSeconds = 1, .teamSeconds = 1});
    m_admission.endSnapshot(0, m_now);
    Admission::Request other = job("b");
    other.team = "other";
    EXPECT_TRUE(accepts(other)) << "the team does no more than 11 of 100 runner-seconds before it";
}

} // namespace
} // namespace sequoiapier::jobs
