#include "net/httpserver.h"
#include "net/servershutdown.h"
#include "net/timer.h"
#include "testing/support/freeport.h"
#include "testing/support/rawconnection.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>
#include <vector>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Patience{10'000};

// Larger than what the kernel's buffers of a connection take.
constexpr std::size_t LargeBodyBytes = 16 * 1024 * 1024;

TEST(HttpServer, ClosingServerWritesTheWholeResponseFirst)
{
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(loop, {.address = "127.0.0.1", .port = port},
                      [](const std::shared_ptr<HttpExchange> &exchange) {
                          exchange->reply({.body = std::string(LargeBodyBytes, 'b') + "end"});
                      });
    ASSERT_TRUE(server.isListening());
    server.closeAfterReplies();
    std::string received;
    std::thread caller([&] {
        const RawConnection connection(port);
        connection.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(100)); // the write blocks meanwhile
        received = connection.receiveUntil("end", Patience);
        EXPECT_TRUE(connection.waitClosed(Patience));
        loop.stop();
    });
    loop.run();
    caller.join();
    EXPECT_NE(received.find("connection: close"), std::string::npos);
    EXPECT_GT(received.size(), LargeBodyBytes);
    EXPECT_FALSE(server.takeActivity() && server.takeActivity());
}

// Callers connect and send in the turn that stops listening, before the server accepts them.
int answeredOfThoseThatWait(bool hasAcceptedBefore)
{
    constexpr int WaitingCount = 8;
    constexpr const char *Request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(
        loop, {.address = "127.0.0.1", .port = port},
        [](const std::shared_ptr<HttpExchange> &exchange) { exchange->reply({.body = "end"}); });
    ServerShutdown shutdown(loop, server);
    const auto earlier = hasAcceptedBefore ? std::make_unique<RawConnection>(port) : nullptr;
    std::vector<std::unique_ptr<RawConnection>> waiting;
    Timer stop(loop, [&] {
        for (int i = 0; i < WaitingCount; ++i) {
            waiting.push_back(std::make_unique<RawConnection>(port));
            EXPECT_TRUE(waiting.back()->send(Request));
        }
        server.stopListening();
        shutdown.awaitAnswers(BootClock::now() + Patience, [&] { loop.stop(); });
    });
    stop.startAt(BootClock::now() + milliseconds(50));
    loop.run();
    EXPECT_FALSE(RawConnection(port).send(Request)) << "connected after it stopped listening";
    int answered = 0;
    for (const auto &connection : waiting)
        answered += connection->receiveUntil("end", milliseconds(100)).ends_with("end") ? 1 : 0;
    return answered;
}

TEST(HttpServer, ConnectionsThatWaitWhenItStopsListeningAreAnswered)
{
    EXPECT_EQ(answeredOfThoseThatWait(true), 8);
    EXPECT_EQ(answeredOfThoseThatWait(false), 8);
}

} // namespace
} // namespace sequoiapier
