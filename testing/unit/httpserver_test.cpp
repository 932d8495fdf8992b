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

constexpr milliseconds ReceiveTimeout{10'000};

// Larger than the kernel's buffers of a connection.
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
        std::this_thread::sleep_for(milliseconds(100)); // lets the server's write block
        received = connection.receiveUntil("end", ReceiveTimeout);
        EXPECT_TRUE(connection.waitClosed(ReceiveTimeout));
        loop.stop();
    });
    loop.run();
    caller.join();
    EXPECT_NE(received.find("connection: close"), std::string::npos);
    EXPECT_GT(received.size(), LargeBodyBytes);
    EXPECT_FALSE(server.takeActivity() && server.takeActivity());
}

// Callers connect and send in the loop iteration that stops listening, before the server accepts
// them. Returns how many of them are answered.
int countAnsweredPendingConnections(bool hasAcceptedBefore)
{
    constexpr int PendingCount = 8;
    constexpr const char *Request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(
        loop, {.address = "127.0.0.1", .port = port},
        [](const std::shared_ptr<HttpExchange> &exchange) { exchange->reply({.body = "end"}); });
    ServerShutdown shutdown(loop, server);
    const auto earlier = hasAcceptedBefore ? std::make_unique<RawConnection>(port) : nullptr;
    std::vector<std::unique_ptr<RawConnection>> pending;
    Timer stop(loop, [&] {
        for (int i = 0; i < PendingCount; ++i) {
            pending.push_back(std::make_unique<RawConnection>(port));
            EXPECT_TRUE(pending.back()->send(Request));
        }
        server.stopListening();
        shutdown.awaitOpenRequests(BootClock::now() + ReceiveTimeout, [&] { loop.stop(); });
    });
    stop.startAt(BootClock::now() + milliseconds(50));
    loop.run();
    EXPECT_FALSE(RawConnection(port).send(Request)) << "connected after it stopped listening";
    int answered = 0;
    for (const auto &connection : pending)
        answered += connection->receiveUntil("end", milliseconds(100)).ends_with("end") ? 1 : 0;
    return answered;
}

TEST(HttpServer, ConnectionsThatWaitWhenItStopsListeningAreAnswered)
{
    EXPECT_EQ(countAnsweredPendingConnections(true), 8);
    EXPECT_EQ(countAnsweredPendingConnections(false), 8);
}

} // namespace
} // namespace sequoiapier
