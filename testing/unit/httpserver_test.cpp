#include "net/httpserver.h"
#include "net/timer.h"
#include "testing/support/freeport.h"
#include "testing/support/rawconnection.h"

#include <gtest/gtest.h>

#include <thread>

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

} // namespace
} // namespace sequoiapier
