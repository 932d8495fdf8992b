// Tests of placement beside images that slow each other down, against an engine that doesn't avoid
// them.
#include "testing/support/enginepool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Target = 100; // Milliseconds.

jobs::JobSpec makeJob(std::string image, std::string payload, Resources size)
{
    jobs::StepSpec step{.size = size, .image = std::move(image)};
    return {.payload = std::move(payload), .steps = {step}};
}

jobs::JobSpec serving(const std::string &image, std::uint32_t count, const std::string &payload)
{
    jobs::JobSpec spec = makeJob(image, payload, {.processors = 6, .memory = 4});
    spec.steps[0].count = count;
    spec.steps[0].isLasting = true;
    spec.steps[0].targetMilliseconds = Target;
    return spec;
}

jobs::JobSpec filling(const std::string &image, std::uint32_t disturbance)
{
    jobs::JobSpec spec
        = makeJob(image, R"({"runMs": 2500, "disturbMs": )" + std::to_string(disturbance) + "}",
                  {.processors = 2, .memory = 20});
    spec.steps[0].isFilling = true;
    return spec;
}

// Serving tasks of image "web", whose tail is half of the target, and of image "api", whose tail
// nothing changes, and a stream of filling tasks of which "crunch" adds 80 ms to a tail and "index"
// adds 2 ms.
class Replay
{
public:
    struct Result
    {
        double overTarget = 0; // Share of the reports of "web" with a tail over the target.
        double pacedDown = 0; // Share of the time at which filling tasks beside "web" were slowed.
        double besideWeb = 0; // Share of the "crunch" runs that began beside "web".
        Duration longestWait{}; // Longest time from a submission to the begin of the run.
        std::uint64_t avoided = 0;
        std::string trace;
        std::string violations;
    };

    Replay(int webRunners, int apiRunners, bool isAvoided, std::uint32_t crunch = 80,
           bool hasImages = true)
        : m_webRunners(webRunners)
        , m_crunch(crunch)
        , m_hasImages(hasImages)
        , m_pool({.runners = webRunners + apiRunners, .isInterferenceAvoided = isAvoided})
    {
        submit("web",
               serving("web", std::uint32_t(webRunners),
                       R"({"lasts": true, "tailMs": 50, "tailWindowMs": 500})"));
        m_pool.run(seconds(1));
        if (apiRunners > 0)
            submit("api", serving("api", std::uint32_t(apiRunners), R"({"lasts": true})"));
        m_pool.run(seconds(4));
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_pool.time().now() + duration; m_pool.time().now() < end;) {
            if (m_pool.time().now() >= m_nextJob) {
                m_nextJob = m_pool.time().now() + seconds(1);
                submit("crunch-" + std::to_string(m_jobs++), filling("crunch", m_crunch));
            }
            if (m_pool.time().now() >= m_nextIndexJob) {
                m_nextIndexJob = m_pool.time().now() + milliseconds(1'300);
                submit("index-" + std::to_string(m_indexJobs++), filling("index", 2));
            }
            for (int i = 0; i < 10; ++i) {
                m_pool.run(milliseconds(5));
                recordTails();
            }
            measure();
        }
    }

    Result result()
    {
        Result result;
        result.overTarget = double(m_over) / double(m_samples);
        result.pacedDown = double(m_paced) / double(m_samples);
        int crunch = 0;
        int besideWeb = 0;
        for (const auto &[job, submittedAt] : m_submittedAt) {
            if (job.starts_with("web") || job.starts_with("api"))
                continue;
            const auto runs = m_pool.ledger().runsOf(job);
            const Duration wait = runs.empty() ? m_pool.time().now() - submittedAt
                                               : runs.front().begin - submittedAt;
            result.longestWait = std::max(result.longestWait, wait);
            if (!job.starts_with("crunch") || runs.empty())
                continue;
            ++crunch;
            besideWeb += std::stoi(runs.front().runner.substr(2)) < m_webRunners ? 1 : 0;
        }
        result.besideWeb = double(besideWeb) / double(crunch);
        result.avoided = m_pool.engine().takeAvoidedInterferenceCount();
        result.trace = m_pool.trace();
        result.violations = m_pool.violations();
        return result;
    }

    EnginePool &pool() { return m_pool; }

private:
    void submit(const std::string &id, jobs::JobSpec spec)
    {
        if (!m_hasImages)
            spec.steps[0].image.clear();
        m_submittedAt[id] = m_pool.time().now();
        m_pool.submit(id, std::move(spec));
    }

    // A report has the longest tail of the last half second.
    void recordTails()
    {
        for (int i = 0; i < m_webRunners; ++i) {
            if (m_pool.runner(i).longestTailLatency() > Target)
                m_overUntil[i] = m_pool.time().now() + milliseconds(500);
        }
    }

    void measure()
    {
        for (int i = 0; i < m_webRunners; ++i) {
            ++m_samples;
            m_over += m_pool.time().now() < m_overUntil[i] ? 1 : 0;
            const jobs::Runner &runner = m_pool.engine().runners().at(EnginePool::runnerId(i));
            m_paced += runner.pace.percent() < 100 ? 1 : 0;
        }
    }

    int m_webRunners;
    std::uint32_t m_crunch;
    bool m_hasImages;
    EnginePool m_pool;
    TimePoint m_nextJob{};
    int m_jobs = 0;
    TimePoint m_nextIndexJob{};
    int m_indexJobs = 0;
    int m_samples = 0;
    int m_over = 0;
    int m_paced = 0;
    std::map<int, TimePoint> m_overUntil; // The runner's reports are over the target until then.
    std::map<std::string, TimePoint> m_submittedAt;
};

void record(const std::string &name, const Replay::Result &result)
{
    testing::Test::RecordProperty(name + "OverTargetPercent", int(result.overTarget * 100));
    testing::Test::RecordProperty(name + "PacedDownPercent", int(result.pacedDown * 100));
    testing::Test::RecordProperty(name + "BesideWebPercent", int(result.besideWeb * 100));
    testing::Test::RecordProperty(name + "LongestWaitMs",
                                  int(result.longestWait / milliseconds(1)));
}

// Lines of the trace about pairs, for the messages of failed checks.
std::string interferenceLines(const std::string &trace)
{
    std::string lines;
    std::istringstream stream(trace);
    for (std::string line; std::getline(stream, line);) {
        if (line.find(" interference.") != std::string::npos)
            lines += line + "\n";
    }
    return lines;
}

// Guards against filling tasks that go on being placed beside the serving tasks that they harm
// while there is room beside others.
TEST(EngineInterference, HarmfulPairIsKeptApartWhereThereIsRoom)
{
    Replay off(2, 2, false);
    off.run(seconds(60));
    const Replay::Result without = off.result();
    Replay on(2, 2, true);
    on.run(seconds(60));
    const Replay::Result with = on.result();
    record("off", without);
    record("on", with);
    EXPECT_GT(without.overTarget, 0.02); // Otherwise there is nothing to avoid.
    EXPECT_GT(without.besideWeb, 0.5);
    EXPECT_LT(with.overTarget, without.overTarget / 2);
    EXPECT_LT(with.pacedDown, without.pacedDown / 2);
    EXPECT_LT(with.besideWeb, 0.35);
    EXPECT_LT(with.longestWait, milliseconds(200));
    EXPECT_GT(with.avoided, 0U);
    EXPECT_NE(with.trace.find("interference.learned"), std::string::npos);
    EXPECT_EQ(with.trace.find("web beside index"), std::string::npos)
        << interferenceLines(with.trace);
    EXPECT_EQ(with.violations, "");
}

// Guards against tasks that wait, or wait longer, because the only room is beside a harmed image.
TEST(EngineInterference, TaskIsPlacedAllTheSameWhereThereIsNoOtherRoom)
{
    Replay off(2, 0, false);
    off.run(seconds(30));
    Replay on(2, 0, true);
    on.run(seconds(30));
    const Replay::Result with = on.result();
    EXPECT_NE(with.trace.find("web beside crunch"), std::string::npos);
    EXPECT_EQ(with.longestWait, off.result().longestWait);
    EXPECT_LT(with.longestWait, milliseconds(200));
    EXPECT_EQ(with.violations, "");
}

// Guards against an effect where no pair harms, and where no step names an image.
TEST(EngineInterference, PlacementIsTheSameWithoutATrustedPair)
{
    for (const auto &[crunch, hasImages] : {std::pair(2U, true), std::pair(80U, false)}) {
        Replay off(2, 2, false, crunch, hasImages);
        off.run(seconds(30));
        Replay on(2, 2, true, crunch, hasImages);
        on.run(seconds(30));
        EXPECT_EQ(on.result().trace, off.result().trace);
    }
}

// Guards against a takeover that loses the pairs.
TEST(EngineInterference, NextOwnerKeepsThePairs)
{
    Replay replay(2, 2, true);
    const auto hasPairs = [&] { return replay.pool().engine().interferingPairCount() > 0; };
    const auto isLearned
        = [&] { return replay.pool().trace().find("web beside crunch") != std::string::npos; };
    for (int i = 0; i < 300 && !isLearned(); ++i)
        replay.run(milliseconds(100));
    ASSERT_TRUE(isLearned() && hasPairs());
    replay.pool().replaceOwner(seconds(1));
    replay.pool().run(seconds(3)); // The runs of filling tasks end.
    EXPECT_TRUE(hasPairs());
    replay.pool().submit("next", filling("crunch", 80));
    replay.pool().run(seconds(1));
    const auto runs = replay.pool().ledger().runsOf("next");
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_GE(std::stoi(runs.front().runner.substr(2)), 2); // Beside "api".
    EXPECT_EQ(replay.pool().violations(), "");
}

// Returns the mean run time, in milliseconds, of tasks of 500 ms that take twice as long beside one
// of two lasting tasks, which the fullest runners have.
double meanRunTime(bool isAvoided)
{
    EnginePool pool({.runners = 4, .isInterferenceAvoided = isAvoided});
    for (const std::string id : {"noisy-1", "noisy-2"}) {
        jobs::JobSpec noisy = makeJob("noisy", R"({"lasts": true, "slowPercent": 100})",
                                      {.processors = 5, .memory = 4});
        noisy.steps[0].isLasting = true;
        pool.submit(id, noisy);
    }
    pool.run(seconds(1));
    for (int i = 0; i < 400; ++i) {
        pool.submit("work-" + std::to_string(i),
                    makeJob("work", R"({"runMs": 500, "isSlowed": true})",
                            {.processors = 1.5, .memory = 1}));
        pool.run(milliseconds(100));
    }
    pool.run(seconds(3));
    EXPECT_EQ(pool.violations(), "");
    Duration sum{};
    for (int i = 0; i < 400; ++i) {
        const auto runs = pool.ledger().runsOf("work-" + std::to_string(i));
        EXPECT_EQ(runs.size(), 1U);
        sum += *runs.front().end - runs.front().begin;
    }
    return double((sum / 400).count()) / 1'000;
}

// Guards against run times that are not learned from.
TEST(EngineInterference, TasksAvoidAnImageThatDoublesTheirRunTime)
{
    const double off = meanRunTime(false);
    const double on = meanRunTime(true);
    testing::Test::RecordProperty("offMeanRunMs", int(off));
    testing::Test::RecordProperty("onMeanRunMs", int(on));
    EXPECT_GT(off, 600);
    EXPECT_LT(on, 500 + (off - 500) / 2);
}

} // namespace
} // namespace sequoiapier
