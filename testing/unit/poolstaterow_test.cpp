#include "node/poolstaterow.h"
#include "testing/support/onerowstore.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PoolStateRowTest : public testing::Test
{
protected:
    PoolStateRow::Hooks hooks()
    {
        return {.isOwner = [this] { return m_isOwner; },
                .encode = [this](TimePoint) { return m_content; },
                .decode =
                    [this](std::string_view content, TimePoint) {
                        m_decoded.emplace_back(content);
                        return content != "malformed";
                    },
                .warn = [this](std::string_view event,
                               std::string_view) { m_warnings.emplace_back(event); }};
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_time.now() + duration; m_time.now() < end;) {
            m_row.update(m_time.now());
            m_time.runUntil(m_time.now() + milliseconds(100));
        }
    }

    VirtualTime m_time;
    OneRowStore m_store{m_time};
    bool m_isOwner = true;
    std::string m_content;
    std::vector<std::string> m_decoded;
    std::vector<std::string> m_warnings;
    PoolStateRow m_row{
        m_store.hooks(), {.key = {"poolstates", "pool", "interference"}, .maxBytes = 100}, hooks()};
};

// Guards against a takeover that loses what the earlier owner has learned, or applies it twice.
TEST_F(PoolStateRowTest, ReadsTheRowOnce)
{
    m_store.set("learned");
    m_content = "learned";
    m_row.load(m_time.now());
    m_row.load(m_time.now());
    run(seconds(20));
    EXPECT_EQ(m_decoded, std::vector<std::string>{"learned"});
    EXPECT_EQ(m_store.reads, 1);
    EXPECT_EQ(m_store.commits, 0); // Nothing has changed.
}

// Guards against an empty state that replaces the row before it is read.
TEST_F(PoolStateRowTest, WritesNothingBeforeTheRowIsRead)
{
    m_store.set("learned");
    run(seconds(10));
    EXPECT_EQ(m_store.reads + m_store.commits, 0);
    m_store.isDown = true;
    m_row.load(m_time.now());
    run(seconds(12));
    EXPECT_EQ(m_store.commits, 0);
    EXPECT_FALSE(m_row.isLoaded());
    m_store.isDown = false;
    run(seconds(6));
    EXPECT_TRUE(m_row.isLoaded());
    EXPECT_EQ(m_decoded, std::vector<std::string>{"learned"});
}

// Guards against load on the store, which has a budget of writes.
TEST_F(PoolStateRowTest, WritesOncePerIntervalAndOnlyChanges)
{
    m_row.load(m_time.now());
    run(seconds(6));
    EXPECT_EQ(m_store.commits, 0); // There is nothing to keep.
    for (int i = 0; i < 100; ++i) {
        m_content = std::to_string(i);
        run(milliseconds(100));
    }
    EXPECT_GE(m_store.commits, 2);
    EXPECT_LE(m_store.commits, 3);
    run(seconds(10));
    const int commits = m_store.commits;
    EXPECT_EQ(m_store.value, "99");
    run(seconds(60));
    EXPECT_EQ(m_store.commits, commits);
}

// Guards against a row that stays although nothing is known any more.
TEST_F(PoolStateRowTest, RemovesTheRowOfAnEmptyState)
{
    m_row.load(m_time.now());
    m_content = "learned";
    run(seconds(11));
    EXPECT_EQ(m_store.value, "learned");
    m_content.clear();
    run(seconds(6));
    EXPECT_EQ(m_store.value, std::nullopt);
    m_content = "again";
    run(seconds(6));
    EXPECT_EQ(m_store.value, "again");
}

// Guards against a row that is never written again after a lost answer: its version is unknown.
TEST_F(PoolStateRowTest, LostAnswerIsFollowedByAnotherWrite)
{
    m_row.load(m_time.now());
    m_content = "first";
    m_store.answersToLose = 1;
    run(seconds(11));
    m_content = "second";
    run(seconds(11));
    EXPECT_EQ(m_store.value, "second");
    EXPECT_TRUE(m_decoded.empty()); // The own row isn't taken for an earlier owner's.
}

// Guards against the same after an outage of the store.
TEST_F(PoolStateRowTest, FailedWriteIsTriedAgainAtTheNextInterval)
{
    m_row.load(m_time.now());
    run(seconds(1));
    m_store.isDown = true;
    m_content = "learned";
    run(seconds(20));
    EXPECT_LE(m_store.reads + m_store.commits, 5);
    m_store.isDown = false;
    run(seconds(11));
    EXPECT_EQ(m_store.value, "learned");
}

// Guards against an owner out of its term that writes.
TEST_F(PoolStateRowTest, OnlyTheOwnerInItsTermWrites)
{
    m_row.load(m_time.now());
    run(seconds(1));
    m_isOwner = false;
    m_content = "learned";
    run(seconds(20));
    EXPECT_EQ(m_store.commits, 0);
    m_isOwner = true;
    run(seconds(6));
    EXPECT_EQ(m_store.value, "learned");
}

// Guards against a write of a deposed owner that replaces the later owner's row.
TEST_F(PoolStateRowTest, LateWriteDoesntReplaceTheRowOfALaterOwner)
{
    m_row.load(m_time.now());
    run(seconds(6));
    m_store.set("later owner");
    m_content = "deposed owner";
    m_row.update(m_time.now() + seconds(6));
    m_isOwner = false;
    run(seconds(10));
    EXPECT_EQ(m_store.value, "later owner");
}

// Guards against rows that stop an owner or that it can't replace.
TEST_F(PoolStateRowTest, MalformedOrTooLargeRowCountsAsEmpty)
{
    m_store.set("malformed");
    m_row.load(m_time.now());
    m_content = "learned";
    run(seconds(11));
    EXPECT_EQ(m_store.value, "learned");
    EXPECT_EQ(m_warnings, std::vector<std::string>{"poolstate.unreadable"});
    m_content = std::string(101, 'x');
    run(seconds(6));
    EXPECT_EQ(m_store.value, "learned");
    EXPECT_EQ(m_warnings.back(), "poolstate.too-large");
}

// Guards against an answer that arrives after the owner was destroyed.
TEST(PoolStateRowLife, AnswerAfterTheEndIsIgnored)
{
    VirtualTime time;
    OneRowStore store(time);
    store.set("learned");
    int decoded = 0;
    {
        PoolStateRow row(store.hooks(), {.key = {"poolstates", "pool", "interference"}},
                         {.isOwner = [] { return true; },
                          .encode = [](TimePoint) { return std::string(); },
                          .decode =
                              [&](std::string_view, TimePoint) {
                                  ++decoded;
                                  return true;
                              }});
        row.load(time.now());
    }
    time.runUntil(time.now() + seconds(2));
    EXPECT_EQ(decoded, 0);
}

} // namespace
} // namespace sequoiapier
