// Tests of a pool that gets more jobs than it can serve while they have value, with whole nodes.
#include "net/httpclient.h"
#include "net/loop.h"
#include "testing/process/platformtest.h"

#include <cstdio>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

class Overload : public PlatformTest
{
protected:
    // Like call(), but keeps the time to return.
    HttpAnswer submitKeepingRetry(const std::string &node, const std::string &id,
                                  const std::string &body)
    {
        Loop loop({});
        HttpClient http(loop, {.maxConnections = 1, .keptHeaders = {"retry-after"}});
        HttpCall call{.address = "127.0.0.1",
                      .port = system().member(node).workPort,
                      .request = {.method = "POST",
                                  .path = "/quotes/" + id,
                                  .headers = {{"deadline-ms", "3000"},
                                              {"content-type", "application/json"},
                                              {"authorization", "Token good-key"}},
                                  .body = body}};
        call.deadline = BootClock::now() + milliseconds(4'000);
        HttpAnswer result;
        http.call(std::move(call), [&](HttpAnswer answer) {
            result = std::move(answer);
            loop.stop();
        });
        loop.run();
        return result;
    }
};

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", unsigned(number));
    return id;
}

// Guards against a refusal that reaches the caller without its time to return, that another node
// answers otherwise, or whose job runs after all.
TEST_F(Overload, RefusalReachesTheCallerWithItsTimeToReturn)
{
    constexpr int MaxJobs = 100;
    constexpr int Tasks = 16; // Fill the team's ceiling.
    ASSERT_EQ(submit("node-1", jobId(0), 1, 500), 200);
    ASSERT_TRUE(waitState("node-1", jobId(0), "completed")) << "its run times are learned";
    std::string refused;
    HttpAnswer refusal;
    for (int i = 1; i <= MaxJobs && refused.empty(); ++i) {
        const HttpAnswer answer = submitKeepingRetry("node-1", jobId(i), jobBody(Tasks, 1'000));
        if (answer.response.status != 200) {
            refused = jobId(i);
            refusal = answer;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    ASSERT_NE(refused, "") << "no job was refused";
    EXPECT_EQ(refusal.response.status, 503) << refusal.response.body;
    EXPECT_NE(refusal.response.body.find("overloaded"), std::string::npos);
    const std::string seconds(headerValue(refusal.response.headers, "retry-after"));
    ASSERT_FALSE(seconds.empty());
    EXPECT_GE(std::stoi(seconds), 1);
    EXPECT_LE(std::stoi(seconds), 30);
    if (std::stoi(seconds) > 1) {
        EXPECT_EQ(submit("node-2", refused, Tasks, 1'000), 503) << "a repeat before its time";
    }
    EXPECT_EQ(stateOf("node-2", refused), "410");
    EXPECT_TRUE(runsOf(refused).empty());
    EXPECT_EQ(violations(), "[]");
}

} // namespace
} // namespace sequoiapier
