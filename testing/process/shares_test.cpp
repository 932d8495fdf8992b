// Shares, ceilings, urgent starts and goodput of a full system, checked against the runners' record
// of the runs.
#include "testing/process/testname.h"
#include "testing/support/fullsystem.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seed = 20261204;
constexpr double MinShare = 0.95;
// Goodput at three times the capacity, relative to that at capacity.
constexpr double MinGoodputRatio = 0.95;
constexpr double MaxUrgentWait = 2.6; // Seconds.
constexpr Duration FillTime = seconds(2); // Time until all queues have a backlog.
constexpr Duration RecoverTime = seconds(2);
constexpr double MaxNormalWait = 0.25; // 95th percentile of seconds from send to start.

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

class Shares : public testing::Test
{
protected:
    explicit Shares(const FullSystem::Options &options = {})
        : m_full(testName(), options)
    { }

    void SetUp() override { ASSERT_TRUE(m_full.start()) << m_full.system().output(); }

    FullSystem &full() { return m_full; }

    // Runs `load` and then reads the runners' records.
    void runLoad(TeamLoad &load, const std::vector<LoadPhase> &phases)
    {
        m_began = BootClock::now();
        load.run(phases);
        auto spans = m_full.spans();
        ASSERT_TRUE(spans.has_value());
        m_spans = std::move(*spans);
        for (const RunSpan &span : m_spans.all())
            m_starts.emplace(span.id, span.start);
    }

    // Seconds from the send to the start at the runner; negative if the request never started.
    double waitTime(const LoadedRequest &request) const
    {
        const auto start = m_starts.find(request.id);
        return start != m_starts.end() ? secondsOf(start->second - request.sentAt) : -1;
    }

    TimePoint began() const { return m_began; }
    const RunSpans &spans() const { return m_spans; }

    // Slot seconds per second of the requests answered with 200 in [from, until).
    double goodput(const TeamLoad &load, Duration from, Duration until) const
    {
        std::map<std::string, Duration> runDurations;
        for (const RunSpan &span : m_spans.all())
            runDurations.emplace(span.id, span.end - span.start);
        double total = 0;
        for (const LoadedRequest &request : load.requests()) {
            const Duration answered = request.endedAt - m_began;
            const auto runDuration = runDurations.find(request.id);
            if (request.status == 200 && answered >= from && answered < until
                && runDuration != runDurations.end()) {
                total += secondsOf(runDuration->second);
            }
        }
        return total / secondsOf(until - from);
    }

private:
    FullSystem m_full;
    TimePoint m_began;
    RunSpans m_spans;
    std::map<std::string, TimePoint> m_starts;
};

// Shares of a system in which one team has a ceiling below its share.
class CeilingShares : public Shares
{
protected:
    static constexpr std::uint32_t Ceiling = 3;

    CeilingShares()
        : Shares({.teams = FullSystem::sixTeams(Ceiling)})
    { }
};

TEST_F(Shares, EachTeamGetsItsShareAndUrgentWorkStartsWhenAllIsFull)
{
    constexpr Duration MeasuredTime = seconds(12);
    std::vector<TeamStream> streams = full().streams(2);
    streams.push_back(full().urgentStream("vans"));
    TeamLoad load(std::move(streams), Seed);
    runLoad(load, {{.length = FillTime + MeasuredTime}});
    const WorstShare worst
        = worstShare(full(), spans(), began() + FillTime, began() + FillTime + MeasuredTime);
    EXPECT_GE(worst.fraction, MinShare) << worst.what;
    for (const std::string &service : full().services())
        EXPECT_LE(spans().peak({.queue = service}), full().slotsPerService());
    unsigned urgent = 0;
    for (const LoadedRequest &request : load.requests()) {
        if (!load.streams()[request.stream].isUrgent)
            continue;
        ++urgent;
        EXPECT_GE(waitTime(request), 0)
            << request.id << " " << request.status << " " << request.code;
        EXPECT_LE(waitTime(request), MaxUrgentWait) << request.id;
    }
    EXPECT_GE(urgent, 5U);
}

TEST_F(CeilingShares, CeilingOverTheFleetIsNeverPassed)
{
    TeamLoad load(full().streams(2), Seed);
    runLoad(load, {{.length = seconds(8)}});
    EXPECT_EQ(spans().peak({.team = "recalls"}), std::int64_t(Ceiling));
    for (const std::string &service : full().services())
        EXPECT_LE(spans().peak({.queue = service}), full().slotsPerService());
}

TEST_F(CeilingShares, TeamAtItsCeilingUsesItAndTheOthersShareTheRest)
{
    constexpr Duration MeasuredTime = seconds(12);
    TeamLoad load(full().streams(2), Seed);
    runLoad(load, {{.length = FillTime + MeasuredTime}});
    const WorstShare worst
        = worstShare(full(), spans(), began() + FillTime, began() + FillTime + MeasuredTime);
    EXPECT_GE(worst.fraction, MinShare) << worst.what;
}

TEST_F(Shares, GoodputHoldsAtThreeTimesTheCapacityAndDelayIsBackAfterIt)
{
    constexpr Duration Phase = seconds(8);
    TeamLoad load(full().streams(1), Seed);
    runLoad(
        load,
        {{.length = Phase}, {.length = Phase, .factor = 3}, {.length = seconds(5), .factor = 0.7}});
    const double atCapacity = goodput(load, FillTime, Phase);
    const double overloaded = goodput(load, Phase + FillTime, 2 * Phase);
    EXPECT_GE(overloaded, MinGoodputRatio * atCapacity);
    std::vector<double> waits;
    for (const LoadedRequest &request : load.requests()) {
        if (request.sentAt >= began() + 2 * Phase + RecoverTime)
            waits.push_back(waitTime(request) >= 0 ? waitTime(request) : secondsOf(Phase));
    }
    std::sort(waits.begin(), waits.end());
    EXPECT_LE(waits.at(waits.size() * 95 / 100), MaxNormalWait);
}

} // namespace
} // namespace sequoiapier
