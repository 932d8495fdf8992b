// Tests of what one owner of a pool tells the next of runners that don't answer. A runner that is
// said to be silent and then gets a lease runs its tasks twice; one that each owner waits for anew
// keeps its tasks away for as long as owners change.
#include "node/silentrunners.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start{seconds(100)};

// Takes the row and says that it is in the store; returns the fence row with it.
json store(SilentRunners &owner, TimePoint now)
{
    const json row = owner.takeRow(now);
    owner.onRowWritten();
    return {{"silent", row}};
}

// The owner of epoch 2, which has inherited i-1 and i-2 from epoch 1, as of `Start`.
SilentRunners secondOwner()
{
    SilentRunners owner({{1, Start - seconds(9)}, {2, Start}});
    owner.load({}, 1, Start);
    owner.setInherited({"i-1", "i-2"}, Start);
    return owner;
}

TEST(SilentRunners, NextOwnerCountsFromTheFirstThatDidNotReachTheRunner)
{
    SilentRunners second = secondOwner();
    second.remove("i-2");
    const json fence = store(second, Start + seconds(2));
    SilentRunners third({{3, Start + milliseconds(2'500)}});
    third.load(fence, 2, Start + milliseconds(2'500));
    third.setInherited({"i-1", "i-2"}, Start + milliseconds(2'500));
    const TimePoint now = Start + milliseconds(2'600);
    EXPECT_EQ(third.since("i-1", now), Start + milliseconds(500)); // 2 s before it read the row
    EXPECT_EQ(third.since("i-2", now), Start + milliseconds(2'500));
    const json next = store(third, Start + seconds(4));
    SilentRunners fourth({});
    fourth.load(next, 3, Start + seconds(5));
    EXPECT_EQ(fourth.since("i-1", Start + seconds(5)), Start + milliseconds(1'500));
}

// The row may be old, while the member has seen the owners change.
TEST(SilentRunners, LongerSilenceCounts)
{
    SilentRunners second = secondOwner();
    const json fence = store(second, Start + seconds(1));
    SilentRunners third({{1, Start - seconds(9)}, {2, Start}, {3, Start + seconds(3)}});
    third.load(fence, 2, Start + seconds(3));
    EXPECT_EQ(third.since("i-1", Start + seconds(3)), Start);
}

TEST(SilentRunners, LeaseWaitsForARowWithoutTheRunner)
{
    SilentRunners owner = secondOwner();
    EXPECT_TRUE(owner.mayExtend("i-1"));
    EXPECT_EQ(store(owner, Start + seconds(1))["silent"].size(), 2U);
    EXPECT_FALSE(owner.mayExtend("i-1"));
    owner.remove("i-1");
    EXPECT_TRUE(owner.isRowDue(Start + seconds(1)));
    EXPECT_EQ(owner.takeRow(Start + seconds(1)).size(), 1U);
    EXPECT_FALSE(owner.mayExtend("i-1")); // The outcome of the write is not known yet.
    owner.onRowWritten();
    EXPECT_TRUE(owner.mayExtend("i-1"));
    EXPECT_FALSE(owner.mayExtend("i-2"));
}

// The write that names the runner may be carried out though its answer is lost.
TEST(SilentRunners, LeaseWaitsForARowThatMayBeStored)
{
    SilentRunners owner = secondOwner();
    owner.takeRow(Start + seconds(1));
    owner.remove("i-1");
    EXPECT_FALSE(owner.mayExtend("i-1"));
    owner.onRowWritten();
    EXPECT_FALSE(owner.mayExtend("i-1"));
    store(owner, Start + seconds(2));
    EXPECT_TRUE(owner.mayExtend("i-1"));
}

// What the owner before has said stands in the store until this owner writes a row of its own.
TEST(SilentRunners, LeaseWaitsForARowAfterTheClaim)
{
    SilentRunners second = secondOwner();
    SilentRunners third({{3, Start + seconds(2)}});
    third.load(store(second, Start + seconds(1)), 2, Start + seconds(2));
    store(third, Start + seconds(2));
    third.setInherited({"i-1"}, Start + seconds(2));
    third.remove("i-1");
    EXPECT_FALSE(third.mayExtend("i-1"));
    EXPECT_TRUE(third.isRowDue(Start + seconds(2)));
    store(third, Start + seconds(2));
    EXPECT_TRUE(third.mayExtend("i-1"));
}

TEST(SilentRunners, RunnersThatAnswerInTimeAreNotNamed)
{
    SilentRunners owner = secondOwner();
    EXPECT_TRUE(owner.takeRow(Start + milliseconds(100)).empty());
    EXPECT_TRUE(owner.mayExtend("i-1"));
    owner.remove("i-1");
    owner.remove("i-2");
    EXPECT_FALSE(owner.isRowDue(Start + seconds(5)));
    EXPECT_TRUE(owner.takeRow(Start + seconds(5)).empty());
}

TEST(SilentRunners, RunnersThatAreNotWaitedForAreDropped)
{
    SilentRunners owner = secondOwner();
    store(owner, Start + seconds(1));
    owner.removeIf([](const std::string &runner) { return runner == "i-2"; });
    EXPECT_EQ(owner.takeRow(Start + seconds(2)).size(), 1U);
}

TEST(SilentRunners, EntriesThatCannotBeReadCountAsUnknown)
{
    const json fence{{"silent",
                      {{"i-1", 1},
                       {"i-2", {1}},
                       {"i-3", {"1", 500}},
                       {"i-4", {1, -5}},
                       {"i-5", {7, 500}}, // an epoch that is not before the row's own
                       {"i-6", {1, 500}}}}};
    SilentRunners owner({});
    owner.load(fence, 2, Start);
    for (const char *runner : {"i-1", "i-2", "i-3", "i-4", "i-5"})
        EXPECT_EQ(owner.since(runner, Start), Start) << runner;
    EXPECT_EQ(owner.since("i-6", Start), Start - milliseconds(500));
    for (const json &row :
         {json(), json(7), json{{"silent", 7}}, json{{"silent", json::array()}}}) {
        owner.load(row, 2, Start);
        EXPECT_EQ(owner.since("i-6", Start), Start) << row;
    }
}

TEST(SilentRunners, RowIsBounded)
{
    std::set<std::string> runners;
    for (int i = 0; i < 5'000; ++i)
        runners.insert("i-" + std::to_string(i));
    SilentRunners owner({});
    owner.load({}, 1, Start);
    owner.setInherited(runners, Start);
    EXPECT_EQ(store(owner, Start + seconds(1))["silent"].size(), SilentRunners::MaxEntries);
    EXPECT_FALSE(owner.isRowDue(Start + seconds(1)));
}

// Owners in a row, each for some steps. A row is written at any time; its outcome may not be known
// for a while, or for as long as the owner lives.
class OwnersInARow
{
public:
    void step()
    {
        m_now += milliseconds(*rc::gen::inRange(1, 900));
        const std::string runner = pickRunner();
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            m_owner.remove(runner); // It has answered.
            m_answered.insert(runner);
            break;
        case 1:
            if (m_answered.contains(runner) && m_owner.mayExtend(runner))
                m_extendedAt[runner] = m_now;
            break;
        case 2:
            writeRow();
            break;
        case 3:
            onRowAnswer();
            break;
        default:
            changeOwner();
            break;
        }
    }

private:
    static std::string pickRunner() { return "i-" + std::to_string(*rc::gen::inRange(0, 3)); }

    void writeRow()
    {
        if (m_isWriting)
            return;
        m_isWriting = true;
        const json silent = m_owner.takeRow(m_now);
        if (*rc::gen::arbitrary<bool>())
            m_row = {{"silent", silent}};
        else
            m_lateRow = {{"silent", silent}};
    }

    // A write that was not carried out is sent again unchanged.
    void onRowAnswer()
    {
        if (!std::exchange(m_isWriting, false))
            return;
        if (m_lateRow)
            m_row = *std::exchange(m_lateRow, {});
        m_owner.onRowWritten();
    }

    void changeOwner()
    {
        ++m_epoch;
        m_changes.push_back({m_epoch, m_now});
        std::vector<ObservedEpoch> observed;
        for (const ObservedEpoch &change : m_changes) {
            if (*rc::gen::arbitrary<bool>())
                observed.push_back({change.epoch, m_now - (m_now - change.seenAt) / 2});
        }
        m_owner = SilentRunners(observed);
        m_owner.load(m_row, m_epoch - 1, m_now);
        m_isWriting = false;
        m_lateRow.reset();
        m_answered.clear();
        m_row = {{"silent", m_owner.takeRow(m_now)}}; // the claim
        m_owner.onRowWritten();
        m_owner.setInherited({"i-0", "i-1", "i-2"}, m_now);
        for (const auto &[runner, extendedAt] : m_extendedAt)
            RC_ASSERT(m_owner.since(runner, m_now) >= extendedAt);
    }

    TimePoint m_now = Start;
    std::uint64_t m_epoch = 1;
    std::vector<ObservedEpoch> m_changes{{1, Start}};
    SilentRunners m_owner{{}};
    std::set<std::string> m_answered;
    std::map<std::string, TimePoint> m_extendedAt;
    json m_row = json::object();
    std::optional<json> m_lateRow;
    bool m_isWriting = false;
};

RC_GTEST_PROP(SilentRunnersProperty, NoOwnerCountsFromBeforeALeaseOfAnEarlierOne, ())
{
    OwnersInARow owners;
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i)
        owners.step();
}

} // namespace
} // namespace sequoiapier
