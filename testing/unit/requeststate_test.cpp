#include "gateway/requeststate.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace sequoiapier {
namespace {

constexpr int EventCount = int(RequestEvent::CallerGone) + 1;
constexpr int StartAttempt = EventCount; // operations of the gateway that are not events
constexpr int BytesLeave = EventCount + 1;
constexpr int RefuseQueued = EventCount + 2;
constexpr int SecondBytesLeave = EventCount + 3;
constexpr int SecondAnswer = EventCount + 4;
constexpr int OperationCount = EventCount + 5;

// Drives a state machine and checks it against what is observed on the wire.
class WireObserver
{
public:
    explicit WireObserver(RequestState::Options options)
        : m_options(options)
        , m_state(options)
    { }

    // Returns false if the operation is not possible in the current state.
    bool apply(int operation)
    {
        const RequestPhase before = m_state.phase();
        if (operation == StartAttempt) {
            if (before != RequestPhase::Queued || m_attempts == m_options.maxAttempts)
                return false;
            m_state.onStarted();
            ++m_attempts;
            ++m_unitsHeld;
            m_isOnWire = false;
            return true;
        }
        if (operation == BytesLeave) {
            const bool left = m_state.tryBeginSend();
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
        m_isSecondOnWire = m_state.tryBeginSecondSend();
        EXPECT_EQ(m_isSecondOnWire, before == RequestPhase::Sent && m_options.isIdempotent);
        m_mayHaveRun = m_mayHaveRun || m_isSecondOnWire;
        return m_isSecondOnWire;
    }

    void check(const RequestStep &step, RequestEvent event)
    {
        if (event == RequestEvent::RunnerRefused)
            m_isOnWire = false;
        if (m_isOnWire)
            m_mayHaveRun = true;
        if (step.unit == UnitAction::Return || step.unit == UnitAction::ReturnAfterLongestWork)
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
        const RunState reported = resultInfo(step.code).runState;
        EXPECT_EQ(reported == RunState::Ran, event == RequestEvent::Answered);
        EXPECT_EQ(reported == RunState::NotRun, !m_mayHaveRun);
        EXPECT_EQ(step.unit == UnitAction::Keep, m_unitsHeld == 1);
    }

    RequestState::Options m_options;
    RequestState m_state;
    unsigned m_attempts = 0;
    int m_unitsHeld = 0;
    int m_finishes = 0;
    bool m_isOnWire = false; // bytes of the current attempt were sent
    bool m_isSecondOnWire = false; // bytes of the second attempt were sent
    bool m_mayHaveRun = false; // bytes of an attempt were sent that the runner did not refuse
};

// Explores all sequences of up to `depth` operations by replay. Returns the number explored.
int explore(RequestState::Options options, std::vector<int> &path, std::size_t depth)
{
    int explored = 1;
    for (int operation = 0; operation < OperationCount && path.size() < depth; ++operation) {
        WireObserver observer(options);
        for (const int earlier : path)
            observer.apply(earlier);
        if (!observer.apply(operation))
            continue;
        EXPECT_EQ(observer.finishes(), observer.isFinished() ? 1 : 0);
        path.push_back(operation);
        explored += explore(options, path, depth);
        path.pop_back();
        if (testing::Test::HasFailure())
            return explored;
    }
    return explored;
}

TEST(RequestState, FinishesOnceWithTheRightRunStateInAllShortSequences)
{
    for (const bool isIdempotent : {false, true}) {
        std::vector<int> path;
        EXPECT_GT(explore({.isIdempotent = isIdempotent, .maxAttempts = 2}, path, 6), 10'000);
    }
}

TEST(RequestState, RefusalAfterAnUncertainAttemptIsNotReportedAsNotRun)
{
    RequestState state({.isIdempotent = true});
    state.onStarted();
    ASSERT_TRUE(state.tryBeginSend());
    EXPECT_EQ(state.onEvent(RequestEvent::ConnectionLost).action, RequestAction::Retry);
    state.onStarted();
    ASSERT_TRUE(state.tryBeginSend());
    EXPECT_EQ(state.onEvent(RequestEvent::RunnerRefused).action, RequestAction::Retry);
    EXPECT_EQ(state.onRefused(ResultCode::QueueFull).code, ResultCode::UpstreamLost);
}

TEST(RequestState, LateAnswerIsDroppedAndReturnsTheUnit)
{
    RequestState state({});
    state.onStarted();
    ASSERT_TRUE(state.tryBeginSend());
    const RequestStep expired = state.onEvent(RequestEvent::DeadlinePassed);
    EXPECT_EQ(expired.code, ResultCode::OutcomeUnknown);
    EXPECT_EQ(expired.unit, UnitAction::Keep);
    const RequestStep late = state.onEvent(RequestEvent::Answered);
    EXPECT_EQ(late.action, RequestAction::DropLate);
    EXPECT_EQ(late.unit, UnitAction::Return);
}

TEST(RequestState, NoByteLeavesAfterTheDeadline)
{
    RequestState state({});
    state.onStarted();
    EXPECT_EQ(state.onEvent(RequestEvent::DeadlinePassed).code, ResultCode::DeadlineExpired);
    EXPECT_FALSE(state.tryBeginSend());
}

} // namespace
} // namespace sequoiapier
