// A request travels caller -> gateway -> runner and back, each in its own process.
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>

#include <csignal>

namespace sequoiapier {
namespace {

class ThinPath : public testing::Test
{
protected:
    ThinPath()
        : m_system(testing::UnitTest::GetInstance()->current_test_info()->name())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startTable());
        ASSERT_TRUE(m_system.startRunner("runner-1"));
        ASSERT_TRUE(m_system.startController("controller-1"));
        ASSERT_TRUE(m_system.startGateway("gateway-1"));
        Configuration configuration;
        configuration.teams = {{.name = "pricing"}};
        configuration.keys = {{.digest = keyDigest("key"), .team = "pricing"}};
        configuration.services = {
            {.name = "prices", .runners = {{"127.0.0.1", m_system.member("runner-1").workPort}}}};
        configuration.queues = {{.name = "prices", .service = "prices"}};
        ASSERT_EQ(m_system.applyConfiguration(toJson(configuration), 0, "first"), 0)
            << m_system.output();
        ASSERT_TRUE(m_system.waitReady("gateway-1"));
    }

    LocalSystem m_system;
};

TEST_F(ThinPath, AnswersWithTheRunnersBody)
{
    const HttpAnswer answer = m_system.work("gateway-1", "prices", "key", "a crate of lemonade");
    EXPECT_EQ(answer.outcome, HttpOutcome::Answered);
    EXPECT_EQ(answer.response.status, 200);
    EXPECT_EQ(answer.response.body, "a crate of lemonade");
}

TEST_F(ThinPath, ReusesConnectionsForIdempotentRequests)
{
    for (int i = 0; i < 50; ++i) {
        const std::string body = "body " + std::to_string(i);
        const HttpAnswer answer
            = m_system.work("gateway-1", "prices", "key", body, {{"x-idempotent", "true"}});
        ASSERT_EQ(answer.response.status, 200) << i;
        ASSERT_EQ(answer.response.body, body) << i;
    }
}

TEST_F(ThinPath, RefusesWithoutAKeyAsNotRun)
{
    const HttpAnswer answer = m_system.work("gateway-1", "prices", "", "x");
    EXPECT_EQ(answer.response.status, 401);
    EXPECT_NE(answer.response.body.find("\"run\":\"not-run\""), std::string::npos)
        << answer.response.body;
}

TEST_F(ThinPath, CallsARunnerThatDiedNotRun)
{
    m_system.member("runner-1").process.signal(SIGKILL);
    ASSERT_TRUE(m_system.member("runner-1").process.waitExit(LocalSystem::Patience).has_value());
    const HttpAnswer answer = m_system.work("gateway-1", "prices", "key", "x");
    EXPECT_EQ(answer.response.status, 503);
    EXPECT_NE(answer.response.body.find("not-run"), std::string::npos) << answer.response.body;
}

TEST_F(ThinPath, StopsGracefully)
{
    ChildProcess &process = m_system.member("gateway-1").process;
    process.signal(SIGTERM);
    EXPECT_EQ(process.waitExit(LocalSystem::Patience), 0);
}

} // namespace
} // namespace sequoiapier
