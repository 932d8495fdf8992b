#include "jobs/interference.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

using jobs::Interference;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration ReportInterval = milliseconds(200);

// Reports of several runners, each with a serving task of image "web" and the images beside it.
class InterferenceTest : public testing::Test
{
protected:
    struct Host
    {
        std::string id;
        std::vector<std::string> beside;
        double ratio = 0.5; // Tail of the serving task relative to its target.
        std::uint32_t percent = 100; // Pace of the images beside it.
        bool isExcluded = false;
        Duration age{}; // Age of the reports when they arrive.
    };

    void report(const Host &host)
    {
        const auto clock
            = std::chrono::duration_cast<milliseconds>((m_now - host.age).time_since_epoch());
        m_interference.beginReport(
            host.id, {.clock = clock.count(), .bornAt = 1, .isExcluded = host.isExcluded}, m_now);
        std::vector<Interference::RunSample> runs{{.image = "web", .ratio = noisy(host.ratio)}};
        for (const std::string &image : host.beside)
            runs.push_back({.image = image, .percent = host.percent});
        m_interference.observe(host.id, runs, m_now);
    }

    void run(const std::vector<Host> &hosts, Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += ReportInterval) {
            for (const Host &host : hosts)
                report(host);
            for (Interference::Change &change : m_interference.update(m_now))
                m_changes.push_back(std::move(change));
        }
    }

    double penalty(std::string_view image, std::string_view beside)
    {
        return m_interference.penalty(image, std::vector{beside}, m_now);
    }

    double noisy(double ratio)
    {
        return ratio * std::uniform_real_distribution<double>(0.9, 1.1)(m_random);
    }

    Interference m_interference{{}};
    TimePoint m_now{seconds(100)};
    std::vector<Interference::Change> m_changes;
    std::mt19937 m_random{7};
};

// Guards against harm that is never learned, or learned in one direction only.
TEST_F(InterferenceTest, LearnsAPairThatDoublesTheTail)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch"}, .ratio = 1}},
        seconds(5));
    EXPECT_NEAR(penalty("web", "batch"), 0.5, 0.1);
    EXPECT_NEAR(penalty("batch", "web"), 0.5, 0.1);
    ASSERT_EQ(m_changes.size(), 1U);
    EXPECT_TRUE(m_changes[0].isLearned);
    EXPECT_EQ(m_changes[0].slowed, "web");
    EXPECT_EQ(m_changes[0].beside, "batch");
    EXPECT_EQ(m_interference.interferingCount(), 1U);
}

// Guards against placement that is changed by noise.
TEST_F(InterferenceTest, HarmlessPairHasNoEffect)
{
    run({{.id = "a"}, {.id = "b", .beside = {"batch"}}, {.id = "c", .beside = {"batch"}}},
        seconds(60));
    EXPECT_EQ(penalty("web", "batch"), 0);
    EXPECT_TRUE(m_changes.empty());
}

// Guards against trust in a few samples.
TEST_F(InterferenceTest, TrustsAPairOnlyAfterEightSamples)
{
    const std::vector<Host> hosts{{.id = "a"},
                                  {.id = "d"},
                                  {.id = "b", .beside = {"batch"}, .ratio = 1},
                                  {.id = "c", .beside = {"batch"}, .ratio = 1}};
    run(hosts, milliseconds(600) + 3 * ReportInterval); // Three samples of each runner.
    EXPECT_TRUE(m_changes.empty());
    run(hosts, 3 * ReportInterval);
    EXPECT_EQ(m_changes.size(), 1U);
}

// Guards against a pair that is blamed for a slow runner: only that one has both images.
TEST_F(InterferenceTest, OneRunnerIsNoEvidence)
{
    run({{.id = "a"}, {.id = "d"}, {.id = "b", .beside = {"batch"}, .ratio = 2}}, seconds(60));
    EXPECT_EQ(penalty("web", "batch"), 0);
}

// Guards against the same where the pair is on other runners as well, which are not slow.
TEST_F(InterferenceTest, LoneSlowRunnerAmongSeveralIsNoEvidence)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 2},
         {.id = "c", .beside = {"batch"}},
         {.id = "d", .beside = {"batch"}}},
        seconds(60));
    EXPECT_EQ(penalty("web", "batch"), 0);
    EXPECT_TRUE(m_changes.empty());
}

// Guards against samples of runners that are slow for reasons of their own.
TEST_F(InterferenceTest, ColdAndQuarantinedRunnersDontCount)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 2, .isExcluded = true},
         {.id = "c", .beside = {"batch"}, .ratio = 2, .isExcluded = true},
         {.id = "d", .beside = {"batch"}, .ratio = 2}},
        seconds(20));
    EXPECT_EQ(penalty("web", "batch"), 0);
}

// Guards against reports that were read long after they were made, for example after a pause.
TEST_F(InterferenceTest, ReportsOlderThanASecondDontCount)
{
    std::vector<Host> hosts{
        {.id = "a"}, {.id = "b", .beside = {"batch"}}, {.id = "c", .beside = {"batch"}}};
    run(hosts, seconds(1));
    for (Host &host : hosts) {
        host.age = milliseconds(1'500);
        host.ratio = host.beside.empty() ? 0.5 : 2;
    }
    run(hosts, seconds(10));
    EXPECT_EQ(penalty("web", "batch"), 0);
    for (Host &host : hosts)
        host.age = milliseconds(900);
    run(hosts, seconds(10));
    EXPECT_GT(penalty("web", "batch"), 0.5);
}

// Guards against a pair that looks harmless because its filling task is paced. Without its pace the
// tail would be doubled; a pace of 25 % adds a quarter of that.
TEST_F(InterferenceTest, PacingDoesntMakeAPairLookHarmless)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 0.625, .percent = 25},
         {.id = "c", .beside = {"batch"}, .ratio = 0.625, .percent = 25}},
        seconds(60));
    EXPECT_NEAR(penalty("web", "batch"), 0.5, 0.15);
}

// Guards against a pair whose harm is forgotten while its filling task is stopped.
TEST_F(InterferenceTest, StoppedFillingTaskTellsNothing)
{
    const auto hosts = [](double ratio, std::uint32_t percent) {
        return std::vector<Host>{
            {.id = "a"},
            {.id = "b", .beside = {"batch"}, .ratio = ratio, .percent = percent},
            {.id = "c", .beside = {"batch"}, .ratio = ratio, .percent = percent}};
    };
    run(hosts(1, 100), seconds(10));
    run(hosts(1, 0), milliseconds(600)); // The tail covers the last half second.
    run(hosts(0.5, 0), seconds(10));
    EXPECT_NEAR(penalty("web", "batch"), 0.5, 0.1);
}

// Guards against a harmless image that is blamed because it is often beside a harmful one.
TEST_F(InterferenceTest, HarmlessImageBesideAHarmfulOneIsNotBlamed)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch", "log"}, .ratio = 1},
         {.id = "d", .beside = {"batch", "log"}, .ratio = 1},
         {.id = "e", .beside = {"log"}}},
        seconds(60));
    EXPECT_GT(penalty("web", "batch"), 0.4);
    EXPECT_EQ(penalty("web", "log"), 0);
}

// Guards against a harmless image that stays blamed. While two images only come together, nothing
// tells which of them harms, and one of them is blamed.
TEST_F(InterferenceTest, ImagesThatAlwaysComeTogetherAreToldApartOnceTheyAreSeenAlone)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch", "log"}, .ratio = 1},
         {.id = "c", .beside = {"batch", "log"}, .ratio = 1}},
        seconds(5));
    EXPECT_GT(std::max(penalty("web", "batch"), penalty("web", "log")), 0.4);
    EXPECT_EQ(m_interference.interferingCount(), 1U);
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch"}, .ratio = 1},
         {.id = "d", .beside = {"log"}},
         {.id = "e", .beside = {"log"}}},
        seconds(10));
    EXPECT_GT(penalty("web", "batch"), 0.4);
    EXPECT_EQ(penalty("web", "log"), 0);
}

// Guards against a pair that is kept apart for ever: it is tried again after about a minute, and a
// pair that has become harmless stays forgotten.
TEST_F(InterferenceTest, ForgetsAPairThatIsKeptApart)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch"}, .ratio = 1}},
        seconds(20));
    // The tail covers the last half second.
    run({{.id = "a"}, {.id = "b", .ratio = 1}, {.id = "c", .ratio = 1}}, milliseconds(600));
    const std::vector<Host> apart{{.id = "a"}, {.id = "b"}, {.id = "c"}};
    run(apart, seconds(20));
    EXPECT_GT(penalty("web", "batch"), 0.4);
    run(apart, seconds(45));
    EXPECT_EQ(penalty("web", "batch"), 0);
    ASSERT_EQ(m_changes.size(), 2U);
    EXPECT_FALSE(m_changes[1].isLearned);
    run({{.id = "a"}, {.id = "b", .beside = {"batch"}}, {.id = "c", .beside = {"batch"}}},
        seconds(10));
    EXPECT_EQ(penalty("web", "batch"), 0);
    EXPECT_EQ(m_changes.size(), 2U);
}

// Guards against a penalty that stays in force because no update follows, as during a pause.
TEST_F(InterferenceTest, PenaltyEndsWithoutAnUpdate)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch"}, .ratio = 1}},
        seconds(10));
    EXPECT_GT(penalty("web", "batch"), 0);
    m_now += seconds(120);
    EXPECT_EQ(penalty("web", "batch"), 0);
}

// Guards against run times that are not learned from, or by images that were there only briefly.
TEST_F(InterferenceTest, LearnsFromRunTimes)
{
    for (int i = 0; i < 40; ++i) {
        m_now += milliseconds(1'000);
        for (const std::string id : {"a", "b", "c", "d"}) {
            const bool isBeside = id == "c" || id == "d";
            m_interference.beginReport(id, {.clock = m_now.time_since_epoch().count() / 1'000},
                                       m_now);
            std::vector<Interference::RunSample> beside{
                {.image = "brief", .startedAt = m_now - milliseconds(30)}};
            if (isBeside)
                beside.push_back({.image = "slow", .startedAt = m_now - seconds(5)});
            m_interference.observeEnd(id, {.image = "work", .startedAt = m_now - milliseconds(900)},
                                      noisy(isBeside ? 1.5 : 1), beside, m_now);
        }
        m_interference.update(m_now);
    }
    EXPECT_NEAR(penalty("work", "slow"), 0.5, 0.1);
    EXPECT_EQ(penalty("work", "brief"), 0);
}

// Guards against a takeover that loses the pairs.
TEST_F(InterferenceTest, NextOwnerKnowsThePairs)
{
    run({{.id = "a"},
         {.id = "b", .beside = {"batch"}, .ratio = 1},
         {.id = "c", .beside = {"batch"}, .ratio = 1}},
        seconds(20));
    const double before = penalty("web", "batch");
    const std::string row = m_interference.encode(m_now);
    m_interference = Interference({});
    ASSERT_TRUE(m_interference.parse(row, m_now));
    EXPECT_FALSE(m_interference.update(m_now).empty());
    EXPECT_NEAR(penalty("web", "batch"), before, 0.051); // Stored in tenths.
    EXPECT_EQ(m_interference.encode(m_now), row);
    for (int i = 0; i < 75; ++i) {
        m_now += seconds(1);
        m_interference.update(m_now);
    }
    EXPECT_EQ(penalty("web", "batch"), 0);
    EXPECT_EQ(m_interference.encode(m_now), "");
}

// Guards against a row that is written each time although nothing has changed.
TEST_F(InterferenceTest, RowIsTheSameWhileThePairsAre)
{
    const std::vector<Host> hosts{{.id = "a"},
                                  {.id = "b", .beside = {"batch"}, .ratio = 1.02},
                                  {.id = "c", .beside = {"batch"}, .ratio = 1.02}};
    run(hosts, seconds(60));
    int changes = 0;
    std::string row = m_interference.encode(m_now);
    for (int i = 0; i < 10; ++i) {
        run(hosts, seconds(5));
        const std::string next = m_interference.encode(m_now);
        changes += next != row ? 1 : 0;
        row = next;
    }
    EXPECT_LE(changes, 5);
}

// Guards against rows that harm the owner that reads them.
TEST_F(InterferenceTest, MalformedRowsAreRejected)
{
    for (const char *row :
         {"{", "[]", "{}", R"({"format":2,"pairs":[]})", R"({"format":1})",
          R"({"format":1,"pairs":{}})", R"({"format":1,"pairs":[1]})",
          R"({"format":1,"pairs":[["a","b",1]]})", R"({"format":1,"pairs":[["a","b",1,8,9]]})",
          R"({"format":1,"pairs":[["","b",1,8]]})", R"({"format":1,"pairs":[["a","b",-1,8]]})",
          R"({"format":1,"pairs":[["a","b",1e300,8]]})",
          R"({"format":1,"pairs":[["a","b",10,8],["a","b",10,1e300]]})"}) {
        EXPECT_FALSE(m_interference.parse(row, m_now)) << row;
        EXPECT_EQ(m_interference.pairCount(), 0U) << row;
    }
    EXPECT_TRUE(m_interference.parse("", m_now));
    EXPECT_TRUE(m_interference.parse(R"({"format":1,"pairs":[["a","b",10,8]]})", m_now));
}

// Guards against a row that the store refuses for its size: the weakest pairs are left out.
TEST(InterferenceBound, RowKeepsTheStrongestPairs)
{
    const TimePoint now{seconds(100)};
    Interference interference({.maxEncodedBytes = 90});
    ASSERT_TRUE(interference.parse(R"({"format":1,"pairs":[["a","b",5,32],["a","c",9,32]]})", now));
    ASSERT_TRUE(interference.parse(R"({"format":1,"pairs":[["d","e",4,32],["d","f",3,32]]})", now));
    ASSERT_TRUE(interference.parse(R"({"format":1,"pairs":[["g","h",7,32],["g","i",8,32]]})", now));
    ASSERT_TRUE(interference.parse(R"({"format":1,"pairs":[["j","k",6,32],["j","l",2,32]]})", now));
    interference.update(now);
    EXPECT_EQ(interference.interferingCount(), 8U);
    EXPECT_EQ(
        interference.encode(now),
        R"({"format":1,"pairs":[["a","c",9,32],["g","i",8,32],["g","h",7,32],["j","k",6,32]]})");
}

// Guards against input that makes the parser throw, crash or exceed its bounds.
RC_GTEST_PROP(InterferenceRow, ParserTakesAnyBytes, (const std::string &bytes))
{
    Interference interference({});
    const TimePoint now{seconds(100)};
    (void)interference.parse(bytes, now);
    (void)interference.parse(R"({"format":1,"pairs":[[)" + bytes + "]]}", now);
    interference.update(now);
    RC_ASSERT(interference.pairCount() <= 1U);
}

// Guards against rows that the writer's own parser rejects or that lose a pair.
RC_GTEST_PROP(InterferenceRow, RoundTrip, (std::vector<std::pair<std::string, std::uint8_t>> pairs))
{
    const TimePoint now{seconds(100)};
    std::string row = R"({"format":1,"pairs":[)";
    for (std::size_t i = 0; i < pairs.size(); ++i) {
        row += std::string(i > 0 ? "," : "") + R"(["a)" + std::to_string(i) + R"(","b",)"
            + std::to_string(2 + pairs[i].second % 100) + ",32]";
    }
    Interference first({});
    RC_ASSERT(bool(first.parse(row + "]}", now)));
    first.update(now);
    Interference second({});
    RC_ASSERT(bool(second.parse(first.encode(now), now)));
    second.update(now);
    RC_ASSERT(second.interferingCount() == pairs.size());
    RC_ASSERT(second.encode(now) == first.encode(now));
}

// Guards against memory, rows and processor time that grow with the number of images: reports of
// 85 runners, each with eight of 100 images, of which two harm all others.
TEST_F(InterferenceTest, HundredImagesStayWithinTheBounds)
{
    const auto name = [](std::size_t i) {
        return "registry.example/team/" + std::string(150, 'x') + std::to_string(i);
    };
    std::vector<std::string> images;
    for (std::size_t i = 0; i < 100; ++i)
        images.push_back(name(i));
    constexpr int Reports = 20'000;
    std::vector<std::vector<std::size_t>> mixes(85);
    std::uniform_int_distribution<std::size_t> any(0, images.size() - 1);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Reports; ++i) {
        m_now += milliseconds(2);
        const std::size_t runner = std::size_t(i) % mixes.size();
        if (i / int(mixes.size()) % 20 == 0) {
            mixes[runner].clear();
            for (int k = 0; k < 8; ++k)
                mixes[runner].push_back(any(m_random));
        }
        const std::string id = "i-" + std::to_string(runner);
        const bool isHarmed = std::any_of(mixes[runner].begin(), mixes[runner].end(),
                                          [](std::size_t image) { return image < 2; });
        std::vector<Interference::RunSample> runs;
        for (const std::size_t image : mixes[runner])
            runs.push_back({.image = images[image], .ratio = noisy(isHarmed ? 1.5 : 0.5)});
        m_interference.beginReport(id, {.clock = m_now.time_since_epoch().count() / 1'000}, m_now);
        m_interference.observe(id, runs, m_now);
        m_interference.update(m_now);
        ASSERT_LE(m_interference.pairCount(), 256U);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    RecordProperty("microsecondsPerReport", std::to_string(took.count() / Reports));
    EXPECT_LE(m_interference.encode(m_now).size(), 16'384U);
    // 425 reports a second on a host of 0.12 cores must not need a large part of it. The bound is
    // far above the measured time, so that a loaded machine doesn't fail the test.
    EXPECT_LT(took.count() / Reports, 1'000);
}

} // namespace
} // namespace sequoiapier
