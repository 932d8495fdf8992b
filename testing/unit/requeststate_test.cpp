#include "gateway/requeststate.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace sequoiapier {
namespace {

constexpr int EventCount = int(RequestEvent::CallerGone) + 1;
constexpr int StartOrRefuse = EventCount; // what the gateway does while it is queued
constexpr int BytesLeave = EventCount + 1;
constexpr int RefuseQueued = EventCount + 2;
constexpr int SecondBytesLeave = EventCount + 3;
constexpr int SecondAnswer = EventCount + 4;
constexpr int OperationCount = EventCount + 5;

// What an onlooker on the wire knows, to hold the state machine against.
class Onlooker
{
public:
    explicit Onlooker(RequestState::Options options)
        : m_options(options)
        , m_state(options)
    { }

    // False if the operation is not possible here.
    bool apply(int operation)
    {
        const RequestPhase before = m_state.phase();
        if (operation == StartOrRefuse) {
            if (before != RequestPhase::Queued || m_attempts == m_options.maxAttempts)
                return false;
            m_state.onStarted();
            ++m_attempts;
            ++m_unitsHeld;
            m_isOnWire = false;
            return true;
        }
        if (operation == BytesLeave) {
            const bool left = m_state.onBytesLeft();
            EXPECT_EQ(left, before == RequestPhase::Connecting);
            m_isOnWire = m_isOnWire || left;
            return left;
        }
        if (operation == RefuseQueued) {
            if (before != RequestPhase::Queued)
                return false;
            check(m_state.onRefused(ResultCode::RetryBudgetEmpty), RequestEvent::CallerGone);
            return true;
        }
        if (operation == SecondBytesLeave || operation == SecondAnswer)
            return applySecond(operation, before);
        const auto event = RequestEvent(operation);
        if (event == RequestEvent::Answered && before == RequestPhase::Connecting)
            return false;
        check(m_state.onEvent(event), event);
        return true;
    }

    int finishes() const { return m_finishes; }
    bool isFinished() const { return m_state.phase() == RequestPhase::Finished; }

private:
    bool applySecond(int operation, RequestPhase before)
    {
        if (operation == SecondAnswer) {
            if (!std::exchange(m_isSecondOnWire, false))
                return false;
            check(m_state.onSecondAnswer(), RequestEvent::Answered);
            return true;
        }
        if (m_isSecondOnWire)
            return false;
        m_isSecondOnWire = m_state.onSecondBytesLeft();
        EXPECT_EQ(m_isSecondOnWire, before == RequestPhase::Sent && m_options.isIdempotent);
        m_doubt = m_doubt || m_isSecondOnWire;
        return m_isSecondOnWire;
    }

    void check(const RequestStep &step, RequestEvent event)
    {
        if (event == RequestEvent::RunnerRefused)
            m_isOnWire = false;
        if (m_isOnWire)
            m_doubt = true;
        if (step.unit == UnitUse::Return || step.unit == UnitUse::ReturnAtLongest)
            --m_unitsHeld;
        EXPECT_GE(m_unitsHeld, 0);
        EXPECT_LE(m_unitsHeld, 1);
        if (step.action == RequestAction::Retry) {
            EXPECT_TRUE(m_options.isIdempotent || !m_isOnWire);
            EXPECT_LT(m_attempts, m_options.maxAttempts);
            EXPECT_EQ(m_finishes, 0);
            m_isOnWire = false;
        }
        if (step.action == RequestAction::Finish)
            checkFinish(step, event);
        EXPECT_TRUE(step.action != RequestAction::DropLate || m_finishes == 1);
    }

    void checkFinish(const RequestStep &step, RequestEvent event)
    {
        ++m_finishes;
        const RunState told = resultInfo(step.code).runState;
        EXPECT_EQ(told == RunState::Ran, event == RequestEvent::Answered);
        EXPECT_EQ(told == RunState::NotRun, !m_doubt);
        EXPECT_EQ(step.unit == UnitUse::Keep, m_unitsHeld == 1);
    }

    RequestState::Options m_options;
    RequestState m_state;
    unsigned m_attempts = 0;
    int m_unitsHeld = 0;
    int m_finishes = 0;
    bool m_isOnWire = false; // bytes of the current attempt left
    bool m_isSecondOnWire = false; // bytes of the second attempt left
    bool m_doubt = false; // bytes left that the runner did not refuse
};

// All sequences of operations down to `depth`, by replay.
int explore(RequestState::Options options, std::vector<int> &path, std::size_t depth)
{
    int explored = 1;
    for (int operation = 0; operation < OperationCount && path.size() < depth; ++operation) {
        Onlooker onlooker(options);
        for (const int earlier : path)
            onlooker.apply(earlier);
        if (!onlooker.apply(operation))
            continue;
        EXPECT_EQ(onlooker.finishes(), onlooker.isFinished() ? 1 : 0);
        path.push_back(operation);
        explored += explore(options, path, depth);
        path.pop_back();
        if (testing::Test::HasFailure())
            return explored;
    }
    return explored;
}

TEST(RequestState, TellsTheTruthOnceInAllShortSequences)
{
    for (const bool isIdempotent : {false, true}) {
        std::vector<int> path;
        EXPECT_GT(explore({.isIdempotent = isIdempotent, .maxAttempts = 2}, path, 6), 10'000);
    }
}

TEST(RequestState, RefusalAfterAnAttemptInDoubtIsNotCalledNotRun)
{
    RequestState state({.isIdempotent = true});
    state.onStarted();
    ASSERT_TRUE(state.onBytesLeft());
    EXPECT_EQ(state.onEvent(RequestEvent::ConnectionLost).action, RequestAction::Retry);
    state.onStarted();
    ASSERT_TRUE(state.onBytesLeft());
    EXPECT_EQ(state.onEvent(RequestEvent::RunnerRefused).action, RequestAction::Retry);
    EXPECT_EQ(state.onRefused(ResultCode::QueueFull).code, ResultCode::UpstreamLost);
}

TEST(RequestState, LateAnswerIsDroppedAndReturnsTheUnit)
{
    RequestState state({});
    state.onStarted();
    ASSERT_TRUE(state.onBytesLeft());
    const RequestStep expired = state.onEvent(RequestEvent::DeadlinePassed);
    EXPECT_EQ(expired.code, ResultCode::OutcomeUnknown);
    EXPECT_EQ(expired.unit, UnitUse::Keep);
    const RequestStep late = state.onEvent(RequestEvent::Answered);
    EXPECT_EQ(late.action, RequestAction::DropLate);
    EXPECT_EQ(late.unit, UnitUse::Return);
}

TEST(RequestState, NoByteLeavesAfterTheDeadline)
{
    RequestState state({});
    state.onStarted();
    EXPECT_EQ(state.onEvent(RequestEvent::DeadlinePassed).code, ResultCode::DeadlineExpired);
    EXPECT_FALSE(state.onBytesLeft());
}

} // namespace
} // namespace sequoiapier
