// Two holders of the orders for hosts and the row that tells the second one which hosts the first
// may have ordered.
#include "node/orderrecord.h"
#include "testing/support/onerowstore.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr Duration Interval = milliseconds(3'000);

class OrderRecordTest : public testing::Test
{
protected:
    std::unique_ptr<OrderRecord> makeHolder(std::uint64_t epoch)
    {
        return std::make_unique<OrderRecord>(
            m_store.hooks(), OrderRecord::Options{.epoch = epoch, .interval = Interval},
            OrderRecord::Hooks{.now = [this] { return m_time.now(); },
                               .onWritten = [this] { ++m_written; },
                               .onClaimed = [](std::uint64_t, std::size_t) {}});
    }
    // A holder that has claimed the row and recorded the host.
    std::unique_ptr<OrderRecord> makeHolderOf(std::uint64_t epoch, const std::string &host)
    {
        std::unique_ptr<OrderRecord> holder = makeHolder(epoch);
        holder->request(host);
        run(*holder);
        EXPECT_TRUE(holder->isRecorded(host));
        return holder;
    }
    // Ticks as the owner of the fleet does, for long enough for a lost answer.
    void run(OrderRecord &holder, Duration duration = milliseconds(1'500))
    {
        for (const TimePoint end = m_time.now() + duration; m_time.now() < end;) {
            holder.tick();
            pass(milliseconds(100));
        }
    }

    void pass(Duration duration) { m_time.runUntil(m_time.now() + duration); }

    VirtualTime m_time;
    OneRowStore m_store{m_time};
    int m_written = 0;
};

TEST_F(OrderRecordTest, FirstHolderKnowsThatNobodyHasOrderedAnything)
{
    const auto holder = makeHolder(1);
    EXPECT_FALSE(holder->knowsFormerOrders()) << "before the row is claimed";
    run(*holder);
    EXPECT_TRUE(holder->knowsFormerOrders());
}

TEST_F(OrderRecordTest, NextHolderWaitsForRecordedHostsOnly)
{
    const auto former = makeHolderOf(1, "m-1");
    const auto next = makeHolder(2);
    run(*next, milliseconds(100));
    EXPECT_TRUE(next->knowsFormerOrders());
    EXPECT_TRUE(next->isBlocked("m-1"));
    EXPECT_FALSE(next->isBlocked("m-2"));
    pass(Interval);
    EXPECT_FALSE(next->isBlocked("m-1"));
}

// Guards against orders of two holders for one host: the former one records a host and orders it
// after the next one has read the row and before it has claimed it.
TEST_F(OrderRecordTest, HostRecordedBetweenTheReadAndTheClaimIsWaitedFor)
{
    const auto former = makeHolderOf(1, "m-1");
    const auto next = makeHolder(2);
    next->tick();
    pass(OneRowStore::Latency / 2);
    former->request("m-2");
    former->tick(); // carried out after the next holder's read and before its claim
    pass(2 * OneRowStore::Latency);
    ASSERT_TRUE(former->isRecorded("m-2"));
    EXPECT_FALSE(next->knowsFormerOrders());
    run(*next, milliseconds(500));
    EXPECT_TRUE(next->knowsFormerOrders());
    EXPECT_TRUE(next->isBlocked("m-1"));
    EXPECT_TRUE(next->isBlocked("m-2"));
}

// Guards against a holder that was paused or cut off and goes on ordering hosts.
TEST_F(OrderRecordTest, FormerHolderRecordsNothingOnceTheRowIsClaimed)
{
    const auto former = makeHolderOf(1, "m-1");
    const auto next = makeHolder(2);
    run(*next);
    former->request("m-2");
    run(*former);
    EXPECT_FALSE(former->isRecorded("m-2"));
    EXPECT_FALSE(former->isRecorded("m-1"));
}

// Guards against orders under a record that the store may not have.
TEST_F(OrderRecordTest, NothingIsRecordedAfterALostAnswerUntilTheNextWrite)
{
    const auto holder = makeHolderOf(1, "m-1");
    m_store.answersToLose = 1;
    holder->request("m-2");
    holder->tick();
    pass(milliseconds(700));
    EXPECT_FALSE(holder->isRecorded("m-1"));
    EXPECT_FALSE(holder->isRecorded("m-2"));
    run(*holder);
    EXPECT_TRUE(holder->isRecorded("m-2"));
}

TEST_F(OrderRecordTest, LostAnswerToTheClaimIsRecognized)
{
    const auto former = makeHolderOf(1, "m-1");
    m_store.answersToLose = 1;
    const auto next = makeHolder(2);
    run(*next);
    EXPECT_TRUE(next->knowsFormerOrders());
    EXPECT_TRUE(next->isBlocked("m-1"));
}

// Guards against a holder of another release that kept no record, and against a damaged row: the
// next holder then waits for all hosts.
TEST_F(OrderRecordTest, RowThatIsNotOfTheHolderBeforeTellsNothing)
{
    const auto first = makeHolderOf(1, "m-1");
    const auto third = makeHolder(3);
    run(*third);
    EXPECT_FALSE(third->knowsFormerOrders());
    m_store.set("{");
    const auto fourth = makeHolder(4);
    run(*fourth);
    EXPECT_FALSE(fourth->knowsFormerOrders());
}

TEST_F(OrderRecordTest, MissingRowTellsNothingToALaterHolder)
{
    const auto holder = makeHolder(2);
    run(*holder);
    EXPECT_FALSE(holder->knowsFormerOrders());
}

// Guards against two changes of the holder within the interval.
TEST_F(OrderRecordTest, SecondNextHolderWaitsForTheHostsOfBoth)
{
    const auto first = makeHolderOf(1, "m-1");
    const auto second = makeHolder(2);
    second->request("m-2");
    run(*second, milliseconds(500));
    const auto third = makeHolder(3);
    run(*third, milliseconds(500));
    EXPECT_TRUE(third->isBlocked("m-1"));
    EXPECT_TRUE(third->isBlocked("m-2"));
}

// Guards against a write that drops a host while its order is sent.
TEST_F(OrderRecordTest, HostThatTheWriteUnderWayDropsIsNotRecorded)
{
    const auto holder = makeHolderOf(1, "m-1");
    pass(Interval + milliseconds(2'000));
    EXPECT_TRUE(holder->isRecorded("m-1"));
    holder->request("m-2");
    holder->tick();
    EXPECT_FALSE(holder->isRecorded("m-1"));
}

TEST_F(OrderRecordTest, NothingIsRecordedWhileTheStoreIsDown)
{
    m_store.isDown = true;
    const auto holder = makeHolder(1);
    holder->request("m-1");
    run(*holder);
    EXPECT_FALSE(holder->isRecorded("m-1"));
    m_store.isDown = false;
    run(*holder);
    EXPECT_TRUE(holder->isRecorded("m-1"));
}

} // namespace
} // namespace sequoiapier
