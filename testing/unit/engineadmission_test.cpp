// Tests of the refusal of jobs by predicted end, with an engine, simulated runners and a peak of
// more jobs than the pool holds.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

using jobs::SubmitVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Runners = 16;
constexpr double CoresPerRunner = 8;
constexpr double Cores = Runners * CoresPerRunner;
constexpr int TasksPerStep = 8;
constexpr double TaskSeconds = 1;
constexpr double TwoStepFraction = 0.8; // Jobs have 1.8 steps on average.
constexpr double WorkPerJob = (1 + TwoStepFraction) * TasksPerStep * TaskSeconds; // Core-seconds.
constexpr double JobsPerSecond = Cores / WorkPerJob; // What the pool holds.
constexpr double Stretch = 1.6;
constexpr int ObjectiveMilliseconds = 600;
constexpr double LateFactor = 3;

EnginePool::Options poolOptions(bool isOn)
{
    EnginePool::Options options{.runners = Runners};
    options.admission.isOn = isOn;
    options.queue = {.name = "queue",
                     .service = "pool",
                     .maxAttempts = 3,
                     .stretch = Stretch,
                     .objectiveMilliseconds = ObjectiveMilliseconds};
    return options;
}

struct SentJob
{
    double path = 0; // Seconds.
    TimePoint sentAt{};
    SubmitVerdict verdict = SubmitVerdict::Accepted;
    Duration retryAfter{};

    double objective() const { return Stretch * path + ObjectiveMilliseconds / 1000.0; }
};

struct Outcome
{
    int inTime = 0;
    int late = 0;
    int worthless = 0; // Ended after the limit, or not at all.
    int refused = 0;
    double worthlessWork = 0; // Core-seconds spent on jobs that ended after the limit.
};

// Sends jobs to a pool at given multiples of what it holds.
class Peak
{
public:
    explicit Peak(const EnginePool::Options &options, std::uint32_t seed = 1)
        : m_pool(options)
        , m_random(seed)
    {
        m_pool.run(seconds(1));
    }

    SentJob &send(const std::string &team = "team")
    {
        return send("job-" + std::to_string(m_jobs.size()), team);
    }

    SentJob &send(const std::string &id, const std::string &team)
    {
        const int steps
            = std::uniform_real_distribution<double>(0, 1)(m_random) < TwoStepFraction ? 2 : 1;
        return send(id, team, steps);
    }

    SentJob &send(const std::string &id, const std::string &team, int steps)
    {
        jobs::JobSpec spec;
        const int taskMilliseconds = std::uniform_int_distribution<int>(900, 1'100)(m_random);
        spec.payload = R"({"runMs": )" + std::to_string(taskMilliseconds) + "}";
        for (int step = 0; step < steps; ++step) {
            spec.steps.push_back({.count = TasksPerStep, .size = {.processors = 1, .memory = 1}});
            if (step > 0)
                spec.steps.back().after = {std::uint32_t(step - 1)};
        }
        const jobs::SubmitResult result = m_pool.submitForResult(id, spec, team);
        SentJob &job = m_jobs[id];
        job = {.path = steps * taskMilliseconds / 1000.0,
               .sentAt = m_pool.time().now(),
               .verdict = result.verdict,
               .retryAfter = result.retryAfter};
        return job;
    }

    // Sends jobs at the given multiple of what the pool holds.
    void load(double factor, Duration duration, const std::string &team = "team")
    {
        const Duration step = milliseconds(10);
        for (Duration passed{}; passed < duration; passed += step) {
            m_due += factor * JobsPerSecond * std::chrono::duration<double>(step).count();
            for (; m_due >= 1; m_due -= 1)
                send(team);
            m_pool.run(step);
        }
    }

    int refusedCount() const
    {
        return int(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &item) {
            return item.second.verdict == SubmitVerdict::Refused;
        }));
    }

    Outcome outcome() const
    {
        struct Runs
        {
            TimePoint lastEnd{};
            double work = 0;
        };
        std::map<std::string, Runs> runs;
        for (const RecordedRun &run : m_pool.ledger().runs()) {
            Runs &ofJob = runs[run.task.job];
            const TimePoint end = run.end.value_or(TimePoint::max());
            ofJob.lastEnd = std::max(ofJob.lastEnd, end);
            if (run.end)
                ofJob.work += std::chrono::duration<double>(*run.end - run.begin).count();
        }
        Outcome outcome;
        for (const auto &[id, job] : m_jobs) {
            if (job.verdict == SubmitVerdict::Refused) {
                ++outcome.refused;
                continue;
            }
            const bool isDone = m_pool.phaseOf(id) == jobs::JobPhase::Completed;
            const double took = isDone
                ? std::chrono::duration<double>(runs[id].lastEnd - job.sentAt).count()
                : 1e9;
            if (took <= job.objective()) {
                ++outcome.inTime;
            } else if (took <= LateFactor * job.objective()) {
                ++outcome.late;
            } else {
                ++outcome.worthless;
                outcome.worthlessWork += runs[id].work;
            }
        }
        return outcome;
    }

    EnginePool &pool() { return m_pool; }
    const std::map<std::string, SentJob> &jobs() const { return m_jobs; }

private:
    EnginePool m_pool;
    std::map<std::string, SentJob> m_jobs;
    std::mt19937 m_random;
    double m_due = 0; // Jobs to be sent.
};

void print(const char *name, const Outcome &outcome)
{
    std::printf("%s: in time %d, late %d, worthless %d, refused %d, work on worthless jobs %.0f "
                "core-seconds\n",
                name, outcome.inTime, outcome.late, outcome.worthless, outcome.refused,
                outcome.worthlessWork);
}

Outcome replay(bool isOn, std::uint32_t seed)
{
    Peak peak(poolOptions(isOn), seed);
    peak.load(0.5, seconds(4));
    peak.load(3, seconds(8));
    peak.load(0.05, seconds(12));
    peak.load(0.5, seconds(10));
    peak.load(0, seconds(20));
    const Outcome outcome = peak.outcome();
    print(isOn ? "admission on " : "admission off", outcome);
    EXPECT_EQ(peak.pool().violations(), "");
    return outcome;
}

// Guards against two failures: that admission refuses jobs that would have been in time, and that
// it spends as much work on jobs without value as a pool that accepts all.
TEST(EngineAdmission, PeakServesAsManyJobsInTimeWithLessWorkOnWorthlessOnes)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        const Outcome off = replay(false, seed);
        const Outcome on = replay(true, seed);
        EXPECT_EQ(off.refused, 0);
        EXPECT_GT(on.refused, 0);
        EXPECT_GE(on.inTime, off.inTime);
        EXPECT_LT(on.worthlessWork, off.worthlessWork);
    }
}

// Guards against refusals for a backlog that the pool absorbs.
TEST(EngineAdmission, PeaksOfTwoSecondsRefuseNobody)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(4));
    for (int i = 0; i < 3; ++i) {
        peak.load(4.5, seconds(2));
        peak.load(0.05, seconds(12));
    }
    EXPECT_EQ(peak.refusedCount(), 0);
    EXPECT_GT(peak.outcome().inTime, 0);
}

// Guards against a refused job that is kept, and against a duplicate of a refused call that is
// accepted right after the refusal.
TEST(EngineAdmission, RefusedJobNeverRuns)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(4));
    peak.load(3, seconds(8));
    std::set<std::string> refused;
    for (const auto &[id, job] : peak.jobs()) {
        if (job.verdict == SubmitVerdict::Refused)
            refused.insert(id);
    }
    ASSERT_FALSE(refused.empty());
    const std::string last = *refused.rbegin();
    EXPECT_FALSE(peak.pool().phaseOf(last));
    EXPECT_FALSE(peak.pool().cancel(last));
    peak.load(0, seconds(30));
    for (const RecordedRun &run : peak.pool().ledger().runs())
        EXPECT_FALSE(refused.contains(run.task.job)) << run.task.job;
    peak.pool().replaceOwner(seconds(1));
    peak.pool().run(seconds(2));
    for (const std::string &id : refused)
        EXPECT_FALSE(peak.pool().phaseOf(id)) << id;
}

// Sends jobs at three times what the pool holds until one is refused; returns its identifier.
std::string firstRefused(Peak &peak)
{
    peak.load(0.5, seconds(4));
    for (int i = 0; i < 1'000 && peak.refusedCount() == 0; ++i)
        peak.load(3, milliseconds(10));
    for (const auto &[id, job] : peak.jobs()) {
        if (job.verdict == SubmitVerdict::Refused)
            return id;
    }
    return {};
}

// Guards against a repeat that gets another answer than the call it repeats, which might then have
// run after all.
TEST(EngineAdmission, RepeatBeforeTheReturnTimeGetsTheSameRefusal)
{
    Peak peak(poolOptions(true));
    const std::string id = firstRefused(peak);
    ASSERT_NE(id, "");
    const SentJob first = peak.jobs().at(id);
    EXPECT_GE(first.retryAfter, seconds(1));
    EXPECT_LE(first.retryAfter, seconds(30));
    EXPECT_EQ(first.retryAfter % seconds(1), Duration{});
    const auto counts = peak.pool().engine().admission().counts();
    peak.load(0, milliseconds(500));
    const SentJob again = peak.send(id, "team");
    EXPECT_EQ(again.verdict, SubmitVerdict::Refused);
    EXPECT_LE(again.sentAt + again.retryAfter, first.sentAt + first.retryAfter + seconds(1));
    EXPECT_EQ(peak.pool().engine().admission().counts().refused, counts.refused);
}

// Guards against callers that are all sent back at the same time, which would be the next peak.
TEST(EngineAdmission, ReturnsAreSpread)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(4));
    peak.load(4.5, seconds(8));
    std::map<std::int64_t, int> perSecond;
    for (const auto &[id, job] : peak.jobs()) {
        if (job.verdict == SubmitVerdict::Refused)
            ++perSecond[(job.sentAt + job.retryAfter).time_since_epoch() / seconds(1)];
    }
    ASSERT_GT(peak.refusedCount(), 2 * JobsPerSecond);
    int most = 0;
    for (const auto &[second, count] : perSecond) {
        std::printf("returns in second %lld: %d\n", static_cast<long long>(second), count);
        most = std::max(most, count);
    }
    EXPECT_LE(most, 2.5 * JobsPerSecond);
}

// Guards against a returning job that waits behind jobs that never waited.
TEST(EngineAdmission, ReturningJobGoesBeforeItsEquals)
{
    Peak peak(poolOptions(true));
    const std::string refused = firstRefused(peak);
    ASSERT_NE(refused, "");
    peak.load(0, peak.jobs().at(refused).retryAfter);
    peak.load(0, seconds(15)); // The pool is empty.
    for (int i = 0; i < 2 * Runners; ++i) // Half of them fill the pool.
        peak.send("a-" + std::to_string(i), "team", 1);
    ASSERT_EQ(peak.send(refused, "team", 1).verdict, SubmitVerdict::Accepted);
    peak.load(0, seconds(6));
    const auto firstBegin = [&](const std::string &id) {
        TimePoint begin = TimePoint::max();
        for (const RecordedRun &run : peak.pool().ledger().runsOf(id))
            begin = std::min(begin, run.begin);
        return begin;
    };
    int before = 0;
    for (int i = 0; i < 2 * Runners; ++i)
        before += firstBegin("a-" + std::to_string(i)) < firstBegin(refused) ? 1 : 0;
    EXPECT_LE(before, 2) << "identifiers in a- sort before that of the refused job";
}

// Guards against a new owner that refuses jobs before it knows its runners, and against the loss of
// an accepted job.
TEST(EngineAdmission, NewOwnerRefusesNothingAtFirstAndKeepsAcceptedJobs)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(4));
    peak.load(3, seconds(7));
    const int refused = peak.refusedCount();
    ASSERT_GT(refused, 0);
    peak.pool().run(seconds(1)); // All that was answered is in the store.
    for (int i = 0; i < Runners; ++i)
        peak.pool().setReachable(i, false);
    peak.pool().replaceOwner(seconds(1));
    peak.load(3, milliseconds(1'900));
    EXPECT_EQ(peak.refusedCount(), refused);
    for (int i = 0; i < Runners; ++i)
        peak.pool().setReachable(i, true);
    peak.load(3, seconds(4));
    peak.load(0, seconds(60));
    for (const auto &[id, job] : peak.jobs()) {
        if (job.verdict == SubmitVerdict::Accepted) {
            EXPECT_EQ(peak.pool().phaseOf(id), jobs::JobPhase::Completed) << id;
        }
    }
    EXPECT_EQ(peak.pool().violations(), "");
}

// Guards against refusals because of an outage of the store, which ends before the backlog matters.
TEST(EngineAdmission, StoreOutageAtOrdinaryLoadRefusesNobody)
{
    Peak peak(poolOptions(true));
    peak.load(0.6, seconds(6));
    peak.pool().setStoreDown(true);
    peak.load(0.6, seconds(2));
    peak.pool().setStoreDown(false);
    peak.load(0.6, seconds(10));
    EXPECT_EQ(peak.refusedCount(), 0);
}

// Guards against a job that is accepted in memory during an outage of the store in a peak and lost.
TEST(EngineAdmission, StoreOutageInAPeakLosesNoAcceptedJob)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(4));
    peak.load(3, seconds(3));
    peak.pool().setStoreDown(true);
    peak.load(3, seconds(2));
    peak.pool().setStoreDown(false);
    peak.load(3, seconds(3));
    peak.load(0, seconds(60));
    EXPECT_GT(peak.refusedCount(), 0);
    for (const auto &[id, job] : peak.jobs()) {
        if (job.verdict == SubmitVerdict::Accepted) {
            EXPECT_EQ(peak.pool().phaseOf(id), jobs::JobPhase::Completed) << id;
        } else {
            EXPECT_FALSE(peak.pool().phaseOf(id)) << id;
        }
    }
    EXPECT_EQ(peak.pool().violations(), "");
}

// Guards against a prediction that counts on runners that are gone.
TEST(EngineAdmission, LostRunnersAreNotCountedOn)
{
    Peak peak(poolOptions(true));
    peak.load(0.5, seconds(6));
    for (int i = 0; i < Runners / 2; ++i)
        peak.pool().setListed(i, false);
    for (int i = 0; i < Runners / 2; ++i)
        peak.pool().crash(i);
    peak.load(1.5, seconds(8)); // Three times what is left.
    EXPECT_GT(peak.refusedCount(), 0);
    EXPECT_EQ(peak.pool().violations(), "");
}

// Guards against refusals by an owner that is cut off from its runners for a moment.
TEST(EngineAdmission, OwnerCutOffFromItsRunnersRefusesNobody)
{
    Peak peak(poolOptions(true));
    peak.load(0.6, seconds(6));
    for (int i = 0; i < Runners; ++i)
        peak.pool().setReachable(i, false);
    peak.load(0.6, seconds(2));
    for (int i = 0; i < Runners; ++i)
        peak.pool().setReachable(i, true);
    peak.load(0.6, seconds(8));
    EXPECT_EQ(peak.refusedCount(), 0);
}

// Guards against a team at its ceiling whose backlog makes the pool refuse the jobs of others, and
// against acceptance of its own jobs that can't end in time within the ceiling.
TEST(EngineAdmission, TeamAtItsCeilingIsRefusedAlone)
{
    const Resources ceiling{.processors = Cores / 4};
    EnginePool::Options options = poolOptions(true);
    options.teams = {{.name = "capped", .share = 1'000, .resourceCeiling = ceiling},
                     {.name = "other", .share = 1'000}};
    Peak peak(options);
    peak.pool().setCeiling(ceiling);
    peak.load(0.2, seconds(3), "other");
    int refusedOthers = 0;
    for (int i = 0; i < 200; ++i) {
        peak.load(0.75, milliseconds(50), "capped");
        if (i % 10 == 0)
            refusedOthers += peak.send("other").verdict == SubmitVerdict::Refused ? 1 : 0;
    }
    EXPECT_GT(peak.refusedCount(), 0);
    EXPECT_EQ(refusedOthers, 0);
}

// Guards against the refusal of jobs that can't be too late: those at set times, lasting jobs, and
// jobs of a queue without an objective.
TEST(EngineAdmission, JobsWithoutAnObjectiveAreNeverRefused)
{
    Peak peak(poolOptions(true));
    QueueConfig queue = poolOptions(true).queue;
    QueueConfig plain = queue;
    plain.name = "plain";
    plain.objectiveMilliseconds = 0;
    peak.pool().setQueues({queue, plain});
    ASSERT_NE(firstRefused(peak), "");
    const jobs::StepSpec step{.count = TasksPerStep, .size = {.processors = 1, .memory = 1}};
    jobs::StepSpec lasting = step;
    lasting.isLasting = true;
    EXPECT_EQ(peak.pool().submit("lasting", {.steps = {lasting}}), SubmitVerdict::Accepted);
    EXPECT_EQ(peak.pool().submit("timed",
                                 {.steps = {step},
                                  .times = 1,
                                  .firstDue = 1'700'003'700'000,
                                  .intervalMilliseconds = 1'000}),
              SubmitVerdict::Accepted);
    EXPECT_EQ(peak.pool().submit("plain", {.steps = {step, step}}, "team", "plain"),
              SubmitVerdict::Accepted);
    const std::string known = peak.jobs().begin()->first;
    EXPECT_EQ(peak.pool().submit(known, {.steps = {step}}), SubmitVerdict::Duplicate);
}

// Guards against a refusal that an operator can't explain, and against a pool that gets no hosts
// because it refuses the work that it would need them for.
TEST(EngineAdmission, RefusalIsLoggedWithItsFiguresAndCountsAsDemand)
{
    Peak peak(poolOptions(true));
    const std::string id = firstRefused(peak);
    ASSERT_NE(id, "");
    const std::string &trace = peak.pool().trace();
    const std::size_t line = trace.find("job.refused " + id);
    ASSERT_NE(line, std::string::npos);
    const std::string text = trace.substr(line, trace.find('\n', line) - line);
    for (const char *part : {"queue queue", "team team", "backlog", "capacity 16.0",
                             "predicted end", "limit", "return in"})
        EXPECT_NE(text.find(part), std::string::npos) << part << " in " << text;
    peak.load(3, seconds(3));
    EXPECT_GT(peak.pool().engine().demand(peak.pool().time().now()).needed, 2 * Runners);
}

} // namespace
} // namespace sequoiapier
