#include "gateway/teamqueues.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};
const TeamQueues::MayStart Always = [](std::string_view) { return true; };

QueuedRequest makeRequest(std::uint64_t id, std::string team, TimePoint now, bool isUrgent = false)
{
    return {.id = id,
            .team = std::move(team),
            .arrival = now,
            .deadline = now + 1h,
            .isUrgent = isUrgent,
            .bytes = 100};
}

// A reference implementation of the same queueing discipline by linear search.
class ReferenceQueues
{
public:
    explicit ReferenceQueues(Duration urgentAdvance)
        : m_urgentAdvance(urgentAdvance)
    { }

    struct Team
    {
        std::string name;
        double weight = 1;
        double tag = 0;
        RunTimeEstimate runTime;
    };

    std::vector<Team> teams;
    std::vector<QueuedRequest> waiting;

    Team &team(const std::string &name)
    {
        return *std::find_if(teams.begin(), teams.end(),
                             [&](const Team &team) { return team.name == name; });
    }

    void push(const QueuedRequest &request)
    {
        Team &owner = team(request.team);
        if (first(owner, false) == waiting.end())
            owner.tag = std::max(owner.tag, m_virtualTime);
        waiting.push_back(request);
    }

    std::optional<QueuedRequest> pop()
    {
        Team *best = nullptr;
        for (Team &team : teams) {
            if (first(team, true) != waiting.end() && urgentRank(team) <= m_virtualTime
                && (best == nullptr || urgentRank(team) < urgentRank(*best)))
                best = &team;
        }
        const bool isByUrgency = best != nullptr;
        for (Team &team : teams) {
            if (!isByUrgency && first(team, false) != waiting.end()
                && (best == nullptr || team.tag < best->tag))
                best = &team;
        }
        if (best == nullptr)
            return std::nullopt;
        if (!isByUrgency)
            m_virtualTime = std::max(m_virtualTime, best->tag);
        auto chosen = first(*best, true);
        if (chosen == waiting.end())
            chosen = first(*best, false);
        QueuedRequest request = *chosen;
        waiting.erase(chosen);
        request.charged = charge(*best);
        best->tag += double(request.charged.count()) / best->weight;
        return request;
    }

    void finish(const QueuedRequest &request, Duration ran, TimePoint now)
    {
        Team &owner = team(request.team);
        owner.tag += double((ran - request.charged).count()) / owner.weight;
        owner.runTime.learn(ran, now);
    }

private:
    std::vector<QueuedRequest>::iterator first(const Team &team, bool urgentOnly)
    {
        return std::find_if(waiting.begin(), waiting.end(), [&](const QueuedRequest &request) {
            return request.team == team.name && (request.isUrgent || !urgentOnly);
        });
    }

    static Duration charge(const Team &team) { return 2 * team.runTime.mean(); }

    double urgentRank(const Team &team) const
    {
        const Duration advance = std::max(m_urgentAdvance, 2 * charge(team));
        return team.tag - double(advance.count()) / team.weight;
    }

    Duration m_urgentAdvance;
    double m_virtualTime = 0;
};

// Runs one sequence of `length` operations, the base-6 digits of `code`, on both implementations
// and compares them.
void compareSequence(unsigned code, unsigned length)
{
    constexpr Duration Advance = 30ms;
    TeamQueues queues(
        {.startCharge = 2, .urgentAdvance = Advance, .overloadAfter = 1h, .refusesEarly = false});
    ReferenceQueues reference(Advance);
    reference.teams = {{"a", 1}, {"b", 3}};
    for (const ReferenceQueues::Team &team : reference.teams)
        queues.setWeight(team.name, team.weight);
    std::vector<QueuedRequest> running;
    for (unsigned step = 0; step < length; ++step, code /= 6) {
        const unsigned operation = code % 6;
        if (operation < 4) {
            const auto request
                = makeRequest(step, operation % 2 == 0 ? "a" : "b", Start, operation >= 2);
            ASSERT_TRUE(queues.push(request, Start));
            reference.push(request);
        } else if (operation == 4) {
            const auto popped = queues.pop(Start, Always);
            const auto expected = reference.pop();
            ASSERT_EQ(popped.has_value(), expected.has_value());
            if (!popped)
                continue;
            ASSERT_EQ(popped->id, expected->id) << "sequence " << code << " step " << step;
            running.push_back(*popped);
        } else if (!running.empty()) {
            const Duration ran = 1ms + 17ms * step;
            queues.onFinished(running.back(), ran, Start);
            reference.finish(running.back(), ran, Start);
            running.pop_back();
        }
    }
}

TEST(TeamQueues, MatchesTheReferenceInAllShortSequences)
{
    constexpr unsigned Length = 7;
    for (unsigned code = 0; code < unsigned(std::pow(6, Length)); ++code) {
        compareSequence(code, Length);
        if (HasFatalFailure())
            return;
    }
}

RC_GTEST_PROP(TeamQueues, EachRequestLeavesOnceAndBoundsHold, ())
{
    TeamQueues queues({.maxCount = 8, .maxBytes = 900, .maxUrgentCount = 3, .maxUrgentBytes = 400});
    const auto isBlocked = *rc::gen::arbitrary<bool>();
    const auto mayStart = [&](std::string_view team) { return !isBlocked || team != "t1"; };
    std::map<std::uint64_t, int> left;
    std::uint64_t nextId = 0;
    TimePoint now = Start;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const int operation = *rc::gen::inRange(0, 8);
        if (operation < 4) {
            auto request = makeRequest(nextId++, "t" + std::to_string(*rc::gen::inRange(0, 3)), now,
                                       operation == 0);
            request.bytes = *rc::gen::inRange<std::size_t>(0, 500);
            request.deadline = now + std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
            const auto pushed = queues.push(request, now);
            if (pushed)
                left[request.id] = 0;
            else
                RC_ASSERT(resultInfo(pushed.error().code).runState == RunState::NotRun);
        } else if (operation < 6) {
            if (const auto popped = queues.pop(now, mayStart)) {
                ++left.at(popped->id);
                RC_ASSERT(popped->deadline > now);
                RC_ASSERT(mayStart(popped->team));
                queues.onFinished(*popped, 1ms * *rc::gen::inRange(0, 300), now);
            }
        } else if (operation == 6) {
            for (const RefusedRequest &refused : queues.takeRefused(now)) {
                ++left.at(refused.request.id);
                RC_ASSERT(resultInfo(refused.code).runState == RunState::NotRun);
            }
            RC_ASSERT(!queues.nextRefusal() || *queues.nextRefusal() > now);
        } else if (const auto removed = queues.remove(*rc::gen::inRange<std::uint64_t>(0, 40))) {
            ++left.at(removed->id);
        }
        RC_ASSERT(queues.count() <= 8U + 3U);
        RC_ASSERT(queues.bytes() <= 900U + 400U);
    }
    for (const RefusedRequest &refused : queues.takeRefused(now))
        ++left.at(refused.request.id);
    for (const QueuedRequest &request : queues.takeAll())
        ++left.at(request.id);
    RC_ASSERT(queues.count() == 0U);
    RC_ASSERT(std::all_of(left.begin(), left.end(), [](auto &entry) { return entry.second == 1; }));
}

RC_GTEST_PROP(TeamQueues, SlotTimeOfTeamsWithWorkStaysWithinOneRun, ())
{
    constexpr std::int64_t MaxRun = 300'000; // microseconds
    TeamQueues queues({.maxCount = 100, .refusesEarly = false});
    const std::array<double, 3> weights{double(*rc::gen::inRange(1, 9)),
                                        double(*rc::gen::inRange(1, 9)),
                                        double(*rc::gen::inRange(1, 9))};
    std::array<double, 3> served{};
    std::uint64_t nextId = 0;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        queues.setWeight(std::to_string(team), weights[team]);
        RC_ASSERT(queues.push(makeRequest(nextId++, std::to_string(team), Start), Start));
    }
    for (int i = 0; i < 300; ++i) {
        const auto popped = queues.pop(Start, Always);
        const Duration ran(*rc::gen::inRange<std::int64_t>(1, MaxRun));
        RC_ASSERT(queues.push(makeRequest(nextId++, popped->team, Start), Start));
        queues.onFinished(*popped, ran, Start);
        served.at(std::stoul(popped->team)) += double(ran.count());
        for (std::size_t a = 0; a < served.size(); ++a) {
            for (std::size_t b = 0; b < a; ++b) {
                RC_ASSERT(std::abs(served[a] / weights[a] - served[b] / weights[b])
                          <= double(MaxRun) * (1 / weights[a] + 1 / weights[b]));
            }
        }
    }
}

RC_GTEST_PROP(TeamQueues, UrgentWorkOfOthersStarvesNobody, ())
{
    const int weight = *rc::gen::inRange(1, 50);
    TeamQueues queues({.urgentAdvance = 1s, .refusesEarly = false});
    queues.setWeight("many", weight);
    std::uint64_t nextId = 1;
    RC_ASSERT(queues.push(makeRequest(nextId++, "many", Start, true), Start));
    RC_ASSERT(queues.push(makeRequest(0, "one", Start), Start));
    const int bound = int(1s / RunTimeEstimate::Initial) + weight + 2;
    int pops = 1;
    while (queues.pop(Start, Always)->id != 0) {
        RC_ASSERT(++pops <= bound);
        RC_ASSERT(queues.push(makeRequest(nextId++, "many", Start, true), Start));
    }
}

TEST(TeamQueues, FullPriorityClassRefusesFromTheMostLoadedTeam)
{
    TeamQueues queues({.maxCount = 4});
    for (std::uint64_t id = 0; id < 4; ++id)
        ASSERT_TRUE(queues.push(makeRequest(id, "large", Start), Start));
    EXPECT_EQ(queues.push(makeRequest(8, "large", Start), Start).error().code,
              ResultCode::QueueFull);
    EXPECT_TRUE(queues.push(makeRequest(9, "small", Start), Start));
    const auto refused = queues.takeRefused(Start);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].request.id, 3U);
    EXPECT_EQ(refused[0].code, ResultCode::QueueFull);
    EXPECT_EQ(queues.count("large"), 3U);
}

TEST(TeamQueues, StandingQueueIsShedByDelay)
{
    TeamQueues queues({.overloadAfter = 2s, .overloadDelay = 200ms});
    ASSERT_TRUE(queues.push(makeRequest(1, "a", Start), Start));
    EXPECT_TRUE(queues.takeRefused(Start + 1900ms).empty());
    ASSERT_TRUE(queues.push(makeRequest(2, "a", Start + 1900ms), Start + 1900ms));
    EXPECT_TRUE(queues.isOverloaded("a", Start + 2s));
    const auto next = queues.pop(Start + 2s, Always);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->id, 2U);
    const auto refused = queues.takeRefused(Start + 2s);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, ResultCode::Overloaded);
}

TEST(TeamQueues, RequestThatCannotFinishIsRefusedEarly)
{
    TeamQueues queues({});
    ASSERT_TRUE(queues.push(makeRequest(1, "a", Start), Start));
    const auto first = queues.pop(Start, Always);
    queues.onFinished(*first, 100ms, Start);
    auto request = makeRequest(2, "a", Start);
    request.deadline = Start + 90ms;
    EXPECT_EQ(queues.push(request, Start).error().code, ResultCode::DeadlineTooClose);
    const TimePoint later = Start + 3 * RunTimeEstimate::HalfLifeWithoutSamples;
    request.deadline = later + 90ms;
    EXPECT_TRUE(queues.push(request, later)) << "an estimate without news refuses for good";
}

TEST(TeamQueues, RunStuckOnOneRunnerDoesNotMakeOthersTooLate)
{
    TeamQueues queues({});
    const auto request = [](std::uint64_t id, TimePoint arrival) {
        return QueuedRequest{
            .id = id, .team = "pricing", .arrival = arrival, .deadline = arrival + 500ms};
    };
    ASSERT_TRUE(queues.push(request(1, Start), Start));
    const std::optional<QueuedRequest> stuck = queues.pop(Start, Always);
    ASSERT_TRUE(stuck);
    const TimePoint later = Start + 4s;
    ASSERT_TRUE(queues.push(request(2, later), later));
    queues.onFinished(*queues.pop(later, Always), 20ms, later + 20ms);
    queues.onFinished(*stuck, 4s, later + 30ms);
    EXPECT_TRUE(queues.push(request(3, later + 40ms), later + 40ms));
    EXPECT_TRUE(queues.pop(later + 40ms, Always));
}

} // namespace
} // namespace sequoiapier
