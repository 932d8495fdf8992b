#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/timer.h"
#include "testing/support/freeport.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

TEST(HttpClient, IdleConnectionsAreForgottenOnceTheyHaveClosed)
{
    constexpr int CallCount = 4;
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(loop, {.address = "127.0.0.1", .port = port},
                      [](const std::shared_ptr<HttpExchange> &exchange) { exchange->reply({}); });
    ASSERT_TRUE(server.isListening());
    HttpClient client(loop, {.idleSeconds = 1});
    int answered = 0;
    std::size_t mostLanes = 0;
    std::unique_ptr<Timer> next;
    const auto call = [&] {
        HttpCall request{.address = "127.0.0.1", .port = port};
        request.deadline = BootClock::now() + milliseconds(1'000);
        request.request = {.method = "POST", .path = "/", .body = "x"};
        request.connectionUse = ConnectionUse::ReuseProved;
        client.call(std::move(request), [&](const HttpAnswer &answer) {
            answered += answer.outcome == HttpOutcome::Answered ? 1 : 0;
            mostLanes = std::max(mostLanes, client.laneCount());
            if (answered == CallCount)
                loop.stop();
            else
                next->startAt(BootClock::now() + milliseconds(2'200)); // past proof and idle time
        });
    };
    next = std::make_unique<Timer>(loop, call);
    Timer guard(loop, [&] { loop.stop(); });
    guard.startAt(BootClock::now() + std::chrono::seconds(15));
    call();
    loop.run();
    EXPECT_EQ(answered, CallCount);
    EXPECT_LE(mostLanes, 1U);
}

TEST(HttpClient, ConnectionThatTheServerClosesIsNotReused)
{
    constexpr int CallCount = 20;
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(loop, {.address = "127.0.0.1", .port = port},
                      [](const std::shared_ptr<HttpExchange> &exchange) { exchange->reply({}); });
    ASSERT_TRUE(server.isListening());
    server.closeAfterReplies();
    HttpClient client(loop, {});
    int calls = 0;
    int answered = 0;
    std::function<void()> call = [&] {
        HttpCall request{.address = "127.0.0.1", .port = port};
        request.deadline = BootClock::now() + milliseconds(2'000);
        request.request = {.method = "POST", .path = "/", .body = "x"};
        client.call(std::move(request), [&](const HttpAnswer &answer) {
            answered += answer.outcome == HttpOutcome::Answered ? 1 : 0;
            if (++calls == CallCount)
                loop.stop();
            else
                call();
        });
    };
    call();
    loop.run();
    EXPECT_EQ(answered, CallCount);
}

} // namespace
} // namespace sequoiapier
