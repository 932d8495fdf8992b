#include "net/clientbudget.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t KiB = 1024;
constexpr TimePoint Start{seconds(1'000)};

// A budget with room for `bytes` besides its connections.
class Budget
{
public:
    explicit Budget(std::size_t bytes, std::size_t connections = 4)
        : m_budget({.maxBytes = bytes + connections * ClientBudget::ConnectionBytes})
        , m_server(m_budget.addServer({}))
    {
        for (ClientBudget::Id id = 1; id <= connections; ++id)
            m_budget.addConnection(m_server, id, "127.0.0.1", Start);
    }

    ClientBudget *operator->() { return &m_budget; }

private:
    ClientBudget m_budget;
    int m_server;
};

// Guards against many bodies of legal size that together exceed the process's memory, and against
// refusing a new request that would fit without the stalled ones.
TEST(ClientBudget, RefusesTheLargestAndOldestIncompleteBody)
{
    Budget budget(700 * KiB);
    budget->beginBody(1, Start);
    budget->growBody(1, 300 * KiB, 300 * KiB, Start);
    budget->beginBody(2, Start);
    budget->growBody(2, 200 * KiB, 200 * KiB, Start);
    budget->beginBody(3, Start + seconds(5));
    const auto decision = budget->growBody(3, 300 * KiB, 300 * KiB, Start + seconds(5));
    EXPECT_TRUE(decision.isAccepted);
    EXPECT_EQ(decision.refused, std::vector<ClientBudget::Id>{1});
    EXPECT_EQ(budget->heldBytes(), 500 * KiB + 4 * ClientBudget::ConnectionBytes);
    EXPECT_EQ(budget->total(ClientLimit::Memory), 1U);
}

// Guards against taking memory from requests that are already being handled, which must be
// answered.
TEST(ClientBudget, RefusesTheNewRequestIfAllOthersAreBeingHandled)
{
    Budget budget(1'000 * KiB);
    budget->beginBody(1, Start);
    EXPECT_TRUE(budget->beginHandling(1, 200 * KiB, Start).isAccepted);
    budget->beginBody(2, Start);
    const auto decision = budget->growBody(2, 300 * KiB, 300 * KiB, Start);
    EXPECT_FALSE(decision.isAccepted);
    EXPECT_TRUE(decision.refused.empty());
    budget->endRequest(1);
    budget->beginBody(3, Start);
    EXPECT_TRUE(budget->growBody(3, 300 * KiB, 300 * KiB, Start).isAccepted);
}

// Guards against counting memory twice or forgetting to release it, which would refuse all
// requests after the excess load has ended.
TEST(ClientBudget, ReleasesEverythingWithTheConnection)
{
    Budget budget(1'000 * KiB);
    for (ClientBudget::Id id = 1; id <= 4; ++id) {
        budget->beginBody(id, Start);
        budget->growBody(id, 400 * KiB, 400 * KiB, Start);
    }
    budget->beginAnswer(4, 10 * KiB, Start);
    for (ClientBudget::Id id = 1; id <= 4; ++id) {
        budget->removeConnection(id);
        budget->removeConnection(id);
    }
    EXPECT_EQ(budget->heldBytes(), 0U);
    EXPECT_EQ(budget->connectionCount(), 0U);
}

// Guards against slow senders that keep their connections by sending a byte now and then.
TEST(ClientBudget, ClosesBodiesBelowTheMinimumRate)
{
    Budget budget(1'000 * KiB, 2);
    for (ClientBudget::Id id = 1; id <= 2; ++id)
        budget->beginBody(id, Start);
    for (int i = 1; i <= 14; ++i) {
        const TimePoint now = Start + seconds(i);
        budget->growBody(1, std::size_t(i), KiB, now);
        budget->growBody(2, std::size_t(i) * KiB, std::size_t(i) * KiB, now);
        const auto overdue = budget->takeOverdue(now);
        ASSERT_EQ(overdue.size(), i == 11 ? 1U : 0U) << i;
        if (i == 11) {
            EXPECT_EQ(overdue[0].id, 1U);
            EXPECT_EQ(overdue[0].limit, ClientLimit::BodyRate);
            budget->removeConnection(1);
        }
    }
}

// Guards against connections that never send a request, and against readers that leave their
// answers unread.
TEST(ClientBudget, ClosesConnectionsWithoutRequestsAndSlowReaders)
{
    Budget budget(1'000 * KiB, 3);
    budget->beginBody(2, Start);
    budget->beginAnswer(2, 20 * KiB, Start);
    budget->endRequest(3); // may stay open without a request
    for (int i = 1; i <= 9; ++i)
        EXPECT_TRUE(budget->takeOverdue(Start + seconds(i)).empty());
    auto overdue = budget->takeOverdue(Start + seconds(10));
    ASSERT_EQ(overdue.size(), 1U);
    EXPECT_EQ(overdue[0].id, 1U);
    EXPECT_EQ(overdue[0].limit, ClientLimit::HeaderTime);
    for (int i = 11; i < 30; ++i)
        EXPECT_TRUE(budget->takeOverdue(Start + seconds(i)).empty());
    overdue = budget->takeOverdue(Start + seconds(30));
    ASSERT_EQ(overdue.size(), 1U);
    EXPECT_EQ(overdue[0].limit, ClientLimit::ReaderRate);
}

// Guards against closing the connections of clients whose data was not read because this process
// was paused.
TEST(ClientBudget, ExtendsDeadlinesByAPause)
{
    Budget budget(1'000 * KiB, 1);
    budget->takeOverdue(Start);
    budget->beginBody(1, Start);
    EXPECT_TRUE(budget->takeOverdue(Start + seconds(60)).empty());
    EXPECT_TRUE(budget->takeOverdue(Start + seconds(61)).empty());
    int closed = 0;
    for (int i = 62; i <= 71; ++i)
        closed += int(budget->takeOverdue(Start + seconds(i)).size());
    EXPECT_EQ(closed, 1);
}

// Guards against a client of a refused request that keeps its connection open.
TEST(ClientBudget, ClosesARefusedRequestAfterAShortTime)
{
    Budget budget(1'000 * KiB, 1);
    budget->beginBody(1, Start);
    budget->beginRefusal(1, Start);
    EXPECT_TRUE(budget->takeOverdue(Start + milliseconds(900)).empty());
    EXPECT_EQ(budget->takeOverdue(Start + seconds(1)).size(), 1U);
}

// Guards against running out of descriptors, and against one address taking all connections where
// the bound is set.
TEST(ClientBudget, BoundsConnectionsOfAServerAndOfAnAddress)
{
    ClientBudget budget({.maxConnectionsPerAddress = 2});
    const int server = budget.addServer({.maxConnections = 3});
    const int other = budget.addServer({.maxConnections = 1});
    budget.addConnection(server, 1, "10.0.0.1", Start);
    budget.addConnection(server, 2, "10.0.0.1", Start);
    EXPECT_FALSE(budget.admit(server, "10.0.0.1").isAdmitted);
    EXPECT_EQ(budget.total(ClientLimit::AddressConnections), 1U);
    EXPECT_TRUE(budget.admit(server, "10.0.0.2").isAdmitted);
    budget.addConnection(server, 3, "10.0.0.2", Start);
    EXPECT_FALSE(budget.admit(server, "10.0.0.2").isAdmitted);
    EXPECT_EQ(budget.total(ClientLimit::Connections), 1U);
    EXPECT_TRUE(budget.admit(other, "10.0.0.2").isAdmitted);
    budget.removeConnection(1);
    EXPECT_TRUE(budget.admit(server, "10.0.0.1").isAdmitted);
}

// Guards against clients that take all connections of the readiness address, so that the load
// balancer takes the host out of service.
TEST(ClientBudget, ReplacesTheOldestConnectionWhereSet)
{
    ClientBudget budget({});
    const int server = budget.addServer({.maxConnections = 2, .isOldestReplaced = true});
    budget.addConnection(server, 1, "10.0.0.1", Start);
    budget.addConnection(server, 2, "10.0.0.1", Start + seconds(1));
    const auto first = budget.admit(server, "10.0.0.2");
    EXPECT_TRUE(first.isAdmitted);
    EXPECT_EQ(first.replaced, std::optional<ClientBudget::Id>(1));
    EXPECT_EQ(budget.admit(server, "10.0.0.2").replaced, std::optional<ClientBudget::Id>(2));
    EXPECT_FALSE(budget.admit(server, "10.0.0.2").isAdmitted);
}

// Guards against a log line for each refused request.
TEST(ClientBudget, GivesANoticeOfALimitAtMostOnceASecond)
{
    ClientBudget budget({});
    budget.count(ClientLimit::JsonValues);
    budget.count(ClientLimit::JsonValues);
    auto notices = budget.takeNotices(Start);
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices[0].count, 2U);
    budget.count(ClientLimit::JsonValues);
    budget.count(ClientLimit::Memory);
    notices = budget.takeNotices(Start + milliseconds(500));
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices[0].limit, ClientLimit::Memory);
    notices = budget.takeNotices(Start + seconds(1));
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices[0].limit, ClientLimit::JsonValues);
    EXPECT_EQ(notices[0].count, 1U);
}

} // namespace
} // namespace sequoiapier
