#include "jobs/adviceschedule.h"
#include "testing/support/virtualtime.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace sequoiapier {
namespace {

using jobs::AdviceNeed;
using jobs::AdviceOutcome;
using jobs::AdviceSchedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The service of one node: it answers calls one after the other, also those that were given up.
class SimulatedAdviceService
{
public:
    using Answer = std::function<void(AdviceOutcome outcome)>;

    static constexpr std::size_t MaxWaitingCalls = 32;
    static constexpr Duration NetworkTime = milliseconds(2);

    enum class Mode : std::uint8_t {
        Sound,
        Slow, // Answers take 6 times as long, and 3 s more.
        Silent, // Takes calls and forgets them.
        Busy, // Refuses calls.
        Down, // Refuses connections.
    };

    explicit SimulatedAdviceService(VirtualTime &time)
        : m_time(time)
    { }

    void setMode(Mode mode) { m_mode = mode; }
    // Calls that an earlier process of the node has left behind.
    void addAbandoned(Duration serviceTime)
    {
        enqueue(serviceTime, [](AdviceOutcome) {});
    }

    void call(Duration serviceTime, Answer answer)
    {
        if (m_mode == Mode::Silent)
            return;
        if (m_mode == Mode::Down) {
            answer(AdviceOutcome::NotSent);
        } else if (m_mode == Mode::Busy || m_waiting.size() > MaxWaitingCalls) {
            m_time.after(NetworkTime, [answer] { answer(AdviceOutcome::Busy); });
        } else {
            enqueue(serviceTime, std::move(answer));
        }
    }
    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t mostWaiting() const { return m_mostWaiting; }

private:
    struct Call
    {
        Duration serviceTime{};
        Answer answer;
    };

    void enqueue(Duration serviceTime, Answer answer)
    {
        m_waiting.push_back({serviceTime, std::move(answer)});
        m_mostWaiting = std::max(m_mostWaiting, m_waiting.size());
        if (m_waiting.size() == 1)
            serveFirst();
    }
    void serveFirst()
    {
        Duration time = m_waiting.front().serviceTime + NetworkTime;
        if (m_mode == Mode::Slow)
            time = 6 * time + seconds(3);
        m_time.after(time, [this] {
            const Answer answer = std::move(m_waiting.front().answer);
            m_waiting.pop_front();
            if (!m_waiting.empty())
                serveFirst();
            answer(AdviceOutcome::Answered);
        });
    }

    VirtualTime &m_time;
    Mode m_mode = Mode::Sound;
    std::deque<Call> m_waiting; // The first one is being served.
    std::size_t m_mostWaiting = 0;
};

// A node whose pools ask a simulated service by a schedule.
class AskingNode
{
public:
    struct Pool
    {
        std::string name;
        Duration serviceTime{};
        AdviceNeed need = AdviceNeed::Room;
        int questions = 0; // Questions that have not been answered.
        std::vector<TimePoint> answers;
    };

    explicit AskingNode(VirtualTime &time, SimulatedAdviceService &service)
        : m_time(time)
        , m_service(service)
    {
        tick();
    }

    Pool &add(const std::string &name, Duration serviceTime, int questions,
              AdviceNeed need = AdviceNeed::Room)
    {
        return m_pools[name]
            = {.name = name, .serviceTime = serviceTime, .need = need, .questions = questions};
    }
    // The pool has moved to another owner; its open call stays open.
    void remove(const std::string &name)
    {
        m_schedule.forgetPool(name);
        m_pools.erase(name);
    }
    Pool &pool(const std::string &name) { return m_pools.at(name); }
    AdviceSchedule &schedule() { return m_schedule; }
    int sentCount() const { return m_sent; }
    std::size_t mostOpen() const { return m_mostOpen; }

    void run(Duration duration) { m_time.runUntil(m_time.now() + duration); }

private:
    void tick()
    {
        ask();
        m_time.after(milliseconds(20), [this] { tick(); });
    }

    void ask()
    {
        std::vector<AdviceSchedule::Waiting> waiting;
        for (const auto &[name, pool] : m_pools) {
            if (pool.questions > 0)
                waiting.push_back({name, pool.need});
        }
        const auto next = m_schedule.next(waiting, m_time.now());
        if (!next)
            return;
        const Duration serviceTime = m_pools.at(*next).serviceTime;
        const AdviceSchedule::Call call = m_schedule.begin(*next, serviceTime, m_time.now());
        ++m_sent;
        m_mostOpen = std::max(m_mostOpen, m_schedule.openCount());
        m_isOpen.insert(call.number);
        m_time.at(call.deadline, [this, call] { end(call.number, {}, AdviceOutcome::Unanswered); });
        m_service.call(serviceTime, [this, call, name = *next](AdviceOutcome outcome) {
            end(call.number, name, outcome);
        });
    }

    void end(std::uint64_t number, const std::string &name, AdviceOutcome outcome)
    {
        if (m_isOpen.erase(number) == 0)
            return;
        m_schedule.end(number, outcome, std::nullopt, m_time.now());
        const auto pool = m_pools.find(name);
        if (outcome != AdviceOutcome::Answered || pool == m_pools.end()
            || pool->second.questions == 0)
            return;
        --pool->second.questions;
        pool->second.answers.push_back(m_time.now());
        ask();
    }

    VirtualTime &m_time;
    SimulatedAdviceService &m_service;
    AdviceSchedule m_schedule{{}};
    std::map<std::string, Pool> m_pools;
    std::set<std::uint64_t> m_isOpen;
    int m_sent = 0;
    std::size_t m_mostOpen = 0;
};

class AdviceScheduleTest : public testing::Test
{
protected:
    using Mode = SimulatedAdviceService::Mode;

    Duration since(TimePoint time) const { return m_time.now() - time; }

    VirtualTime m_time;
    SimulatedAdviceService m_service{m_time};
    AskingNode m_node{m_time, m_service};
};

// Guards against calls of one node that wait behind each other until their callers give them up:
// beyond three pools no answer arrived in time.
TEST_F(AdviceScheduleTest, AllPoolsOfOneNodeGetTheirAnswers)
{
    for (int i = 0; i < 8; ++i)
        m_node.add("pool-" + std::to_string(i), milliseconds(1'200), 3);
    m_node.run(seconds(31));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(m_node.pool("pool-" + std::to_string(i)).questions, 0) << i;
    EXPECT_EQ(m_node.sentCount(), 24);
    EXPECT_EQ(m_node.mostOpen(), 1U);
}

// Guards against a pool with many steps that keeps another pool's only step from its answer.
TEST_F(AdviceScheduleTest, PoolWithManyStepsLeavesItsTurnToAnother)
{
    m_node.add("many", milliseconds(500), 100);
    m_node.run(seconds(20));
    const TimePoint begin = m_time.now();
    m_node.add("one", milliseconds(500), 1);
    while (m_node.pool("one").answers.empty() && since(begin) < seconds(10))
        m_node.run(milliseconds(10));
    EXPECT_LE(since(begin), milliseconds(1'100));
}

// Pools take turns by the service time that they use, not by their number of calls.
TEST_F(AdviceScheduleTest, PoolWithLongCallsGetsAsMuchTimeAsOneWithShortCalls)
{
    m_node.add("long", milliseconds(1'000), 1'000);
    m_node.add("short", milliseconds(100), 1'000);
    m_node.run(seconds(60));
    EXPECT_NEAR(double(m_node.pool("long").answers.size()), 29, 3);
    EXPECT_NEAR(double(m_node.pool("short").answers.size()), 250, 50);
}

TEST_F(AdviceScheduleTest, StepsWithRoomComeBeforeThoseOfOtherPoolsWithout)
{
    m_node.add("a", milliseconds(500), 1'000, AdviceNeed::NoRoom);
    m_node.add("b", milliseconds(500), 10, AdviceNeed::Room);
    m_node.run(milliseconds(6'000));
    EXPECT_EQ(m_node.pool("b").questions, 0);
}

// Guards against a fixed allowance for an answer, which a call with a long time of its own, or a
// service slower than it says, exceeds for ever.
TEST_F(AdviceScheduleTest, CallThatTakesMinutesIsAnswered)
{
    m_node.add("a", seconds(150), 1);
    m_node.run(seconds(151));
    EXPECT_EQ(m_node.pool("a").questions, 0);
    EXPECT_EQ(m_node.sentCount(), 1);
}

TEST_F(AdviceScheduleTest, AnswersOfASlowServiceAreUsedAndFewAreWasted)
{
    m_service.setMode(Mode::Slow);
    m_node.add("a", milliseconds(1'200), 10);
    m_node.add("b", milliseconds(20), 10);
    m_node.run(seconds(300));
    EXPECT_EQ(m_node.pool("a").questions, 0);
    EXPECT_EQ(m_node.pool("b").questions, 0);
    // Besides the 20 answered calls, no more than may be open when the last one is answered.
    EXPECT_LE(m_node.sentCount(), 20 + 8);
}

TEST_F(AdviceScheduleTest, LateAnswerOfAPoolThatHasMovedDisturbsNoOther)
{
    m_service.setMode(Mode::Slow);
    m_node.add("a", milliseconds(1'000), 1);
    m_node.run(seconds(1));
    m_node.remove("a");
    m_node.add("b", milliseconds(1'000), 1);
    m_service.setMode(Mode::Sound);
    m_node.run(seconds(12));
    EXPECT_EQ(m_node.pool("b").questions, 0);
    EXPECT_EQ(m_node.schedule().openCount(), 0U);
}

// A silent service, or a silent connection to it, must neither hold all pools up until a long
// deadline nor get a call every moment.
TEST_F(AdviceScheduleTest, SilentServiceGetsFewCallsAndIsFoundAgain)
{
    m_service.setMode(Mode::Silent);
    m_node.add("a", milliseconds(100), 1'000);
    m_node.run(seconds(60));
    EXPECT_LE(m_node.sentCount(), 20);
    EXPECT_LE(m_node.mostOpen(), 8U);
    m_service.setMode(Mode::Sound);
    const TimePoint back = m_time.now();
    while (m_node.pool("a").answers.empty() && since(back) < seconds(30))
        m_node.run(milliseconds(10));
    EXPECT_LE(since(back), seconds(6));
}

TEST_F(AdviceScheduleTest, BusyServiceIsAskedAgainAfterAPause)
{
    for (const Mode mode : {Mode::Busy, Mode::Down}) {
        m_service.setMode(mode);
        const int before = m_node.sentCount();
        m_node.add("a", milliseconds(100), 1);
        m_node.run(seconds(30));
        EXPECT_LE(m_node.sentCount() - before, 20);
        m_service.setMode(Mode::Sound);
        m_node.run(milliseconds(2'200));
        EXPECT_EQ(m_node.pool("a").questions, 0);
    }
}

// No other call goes out while one is open and in time, and none before the pause after a call that
// the service did not answer.
TEST(AdviceSchedule, OneCallIsOutAtATimeAndTheNextComesAfterAPause)
{
    const std::vector<AdviceSchedule::Waiting> waiting{{.pool = "a"}, {.pool = "b"}};
    for (const AdviceOutcome outcome :
         {AdviceOutcome::Unanswered, AdviceOutcome::Busy, AdviceOutcome::NotSent}) {
        TimePoint now{std::chrono::hours(1)};
        AdviceSchedule schedule({});
        EXPECT_EQ(schedule.next(waiting, now), "a");
        const auto call = schedule.begin("a", milliseconds(100), now);
        EXPECT_FALSE(schedule.next(waiting, now));
        EXPECT_FALSE(schedule.next(waiting, call.overdueAt - milliseconds(1)));
        now += milliseconds(10);
        schedule.end(call.number, outcome, std::nullopt, now);
        EXPECT_FALSE(schedule.next(waiting, now));
        EXPECT_FALSE(schedule.next(waiting, now + milliseconds(199)));
        EXPECT_EQ(schedule.next(waiting, now + milliseconds(200)), "b");
    }
}

TEST(AdviceSchedule, TimeToRetryIsKeptUpToABound)
{
    const TimePoint now{std::chrono::hours(1)};
    const std::vector<AdviceSchedule::Waiting> waiting{{.pool = "a"}};
    for (const auto &[asked, kept] :
         {std::pair(seconds(5), seconds(5)), std::pair(seconds(3'600), seconds(10))}) {
        AdviceSchedule schedule({});
        const auto call = schedule.begin("a", milliseconds(100), now);
        schedule.end(call.number, AdviceOutcome::Busy, now + asked, now);
        EXPECT_FALSE(schedule.next(waiting, now + kept - milliseconds(1)));
        EXPECT_TRUE(schedule.next(waiting, now + kept));
    }
}

// A process that starts again finds the calls of the one before it still waiting at the service.
TEST_F(AdviceScheduleTest, CallsOfAnEarlierProcessDelayAnswersButLoseNone)
{
    for (int i = 0; i < 30; ++i)
        m_service.addAbandoned(milliseconds(1'200));
    m_node.add("a", milliseconds(1'200), 2);
    m_node.add("b", milliseconds(1'200), 2);
    m_node.run(seconds(60));
    EXPECT_EQ(m_node.pool("a").questions, 0);
    EXPECT_EQ(m_node.pool("b").questions, 0);
    EXPECT_LE(m_service.mostWaiting(), 30U + 8U);
}

// Plays random pools against a service that is slow, silent, busy and down in turns. Seeds by
// ADVICE_SEEDS, 40 by default.
TEST(AdviceScheduleSoak, PoolsGetTheirAnswersWhateverTheServiceWent)
{
    const char *count = std::getenv("ADVICE_SEEDS");
    const int seeds = count != nullptr ? std::atoi(count) : 40;
    for (int seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(std::uint32_t(seed) * 7'919U);
        const auto draw = [&](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        VirtualTime time;
        SimulatedAdviceService service(time);
        AskingNode node(time, service);
        const int pools = draw(1, 10);
        const int longest = draw(0, 1) == 0 ? 200 : 4'000;
        const auto addPool = [&](int i) {
            node.add("pool-" + std::to_string(i), milliseconds(draw(1, longest)), 1'000'000);
        };
        for (int i = 0; i < pools; ++i)
            addPool(i);
        for (int phase = 0; phase < 12; ++phase) {
            service.setMode(SimulatedAdviceService::Mode(draw(0, 4)));
            if (draw(0, 2) == 0) {
                const int moved = draw(0, pools - 1);
                node.remove("pool-" + std::to_string(moved));
                addPool(moved);
            }
            node.run(milliseconds(draw(100, 15'000)));
            ASSERT_LE(node.mostOpen(), 8U);
        }
        service.setMode(SimulatedAdviceService::Mode::Sound);
        // Calls before the first one that is answered, and the longest time until it is sent.
        const Duration backlog = milliseconds(longest) * 8 * 7 + seconds(3 * 8);
        node.run(backlog + seconds(5) + 9 * milliseconds(longest));
        std::map<std::string, std::size_t> before;
        for (int i = 0; i < pools; ++i)
            before[std::to_string(i)] = node.pool("pool-" + std::to_string(i)).answers.size();
        // Each pool has its turn in each round, in which each uses a call and its delay at most.
        const Duration round
            = (milliseconds(longest) + AdviceSchedule::Options().answerDelay) * pools;
        node.run(2 * round + milliseconds(longest));
        for (int i = 0; i < pools; ++i) {
            EXPECT_GT(node.pool("pool-" + std::to_string(i)).answers.size(),
                      before[std::to_string(i)])
                << "pool " << i << " of " << pools;
        }
    }
}

} // namespace
} // namespace sequoiapier
