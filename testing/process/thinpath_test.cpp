// A request goes from the caller through a gateway to a runner and back, each in its own process.
#include "testing/process/oneservicetest.h"

#include <gtest/gtest.h>

#include <csignal>

namespace sequoiapier {
namespace {

class ThinPath : public OneServiceTest
{
};

TEST_F(ThinPath, AnswersWithTheRunnersBody)
{
    const HttpAnswer answer = system().work("gateway-1", "prices", "key", "a crate of lemonade");
    EXPECT_EQ(answer.outcome, HttpOutcome::Answered);
    EXPECT_EQ(answer.response.status, 200);
    EXPECT_EQ(answer.response.body, "a crate of lemonade");
}

TEST_F(ThinPath, ReusesConnectionsForIdempotentRequests)
{
    for (int i = 0; i < 50; ++i) {
        const std::string body = "body " + std::to_string(i);
        const HttpAnswer answer
            = system().work("gateway-1", "prices", "key", body, {{"x-idempotent", "true"}});
        ASSERT_EQ(answer.response.status, 200) << i;
        ASSERT_EQ(answer.response.body, body) << i;
    }
}

TEST_F(ThinPath, RefusesWithoutAKeyAsNotRun)
{
    const HttpAnswer answer = system().work("gateway-1", "prices", "", "x");
    EXPECT_EQ(answer.response.status, 401);
    EXPECT_NE(answer.response.body.find("\"run\":\"not-run\""), std::string::npos)
        << answer.response.body;
}

TEST_F(ThinPath, CallsARunnerThatDiedNotRun)
{
    system().member("runner-1").process.signal(SIGKILL);
    ASSERT_TRUE(system().member("runner-1").process.waitExit(LocalSystem::Timeout).has_value());
    const HttpAnswer answer = system().work("gateway-1", "prices", "key", "x");
    EXPECT_EQ(answer.response.status, 503);
    EXPECT_NE(answer.response.body.find("not-run"), std::string::npos) << answer.response.body;
}

TEST_F(ThinPath, StopsGracefully)
{
    ChildProcess &process = system().member("gateway-1").process;
    process.signal(SIGTERM);
    EXPECT_EQ(process.waitExit(LocalSystem::Timeout), 0);
}

} // namespace
} // namespace sequoiapier
