#include "net/httpserver.h"
#include "net/servershutdown.h"
#include "net/timer.h"
#include "testing/support/freeport.h"
#include "testing/support/rawconnection.h"

#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReceiveTimeout{10'000};

// Larger than the kernel's buffers of a connection.
constexpr std::size_t LargeBodyBytes = 16 * 1024 * 1024;

// Memory of this process that is resident.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

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

// Runs a server with a budget while `clients` run in another thread.
void serveWhile(HttpServer::Options options, ClientBudget::Options limits,
                const HttpServer::Handler &handler,
                const std::function<void(std::uint16_t port, ClientBudget &budget)> &clients)
{
    const std::uint16_t port = freePort();
    Loop loop({});
    ClientBudget budget(limits);
    options.address = "127.0.0.1";
    options.port = port;
    options.budget = &budget;
    HttpServer server(loop, options, handler);
    ASSERT_TRUE(server.isListening());
    std::thread thread([&] {
        clients(port, budget);
        loop.stop();
    });
    loop.run();
    thread.join();
}

void replyToAll(const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->reply({.body = std::to_string(exchange->request().body.size()) + "end"});
}

std::string post(std::size_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(bodyBytes)
        + "\r\n\r\n";
}

// Guards against memory that is allocated for announced bodies, and against incomplete bodies that
// keep out a request that fits.
TEST(HttpServer, RefusesIncompleteBodiesOverTheBudgetAndServesAnotherRequest)
{
    constexpr std::size_t BodyBytes = 200'000;
    std::vector<std::size_t> served;
    serveWhile(
        {}, {.maxBytes = 1'200'000},
        [&](const std::shared_ptr<HttpExchange> &exchange) {
            served.push_back(exchange->request().body.size());
            replyToAll(exchange);
        },
        [&](std::uint16_t port, ClientBudget &budget) {
            std::vector<std::unique_ptr<RawConnection>> stalled;
            for (int i = 0; i < 12; ++i) {
                stalled.push_back(std::make_unique<RawConnection>(port));
                stalled.back()->send(post(BodyBytes) + std::string(BodyBytes - 1, 'a'));
                std::this_thread::sleep_for(milliseconds(20));
            }
            const RawConnection other(port);
            other.send(post(BodyBytes) + std::string(BodyBytes, 'b'));
            EXPECT_NE(other.receiveUntil("end", ReceiveTimeout).find("200000end"),
                      std::string::npos);
            const std::string refusal = stalled.front()->receiveUntil("held", ReceiveTimeout);
            EXPECT_NE(refusal.find("503"), std::string::npos) << refusal;
            EXPECT_NE(refusal.find("retry-after: 1"), std::string::npos) << refusal;
            EXPECT_TRUE(stalled.front()->waitClosed(ReceiveTimeout));
            EXPECT_GE(budget.total(ClientLimit::Memory), 6U);
            // The refused request must not run, not even when its body is completed.
            stalled.front()->send("a");
            std::this_thread::sleep_for(milliseconds(50));
        });
    EXPECT_EQ(served, std::vector<std::size_t>{BodyBytes});
}

// Guards against pipelined requests that are read and buffered while one is open, and against
// stopping to read after the first one.
TEST(HttpServer, ReadsOnePipelinedRequestAtATime)
{
    constexpr int RequestCount = 20'000;
    std::vector<std::shared_ptr<HttpExchange>> held;
    int served = 0;
    serveWhile(
        {}, {},
        [&](const std::shared_ptr<HttpExchange> &exchange) {
            if (++served == 1)
                held.push_back(exchange); // answered by the request of another connection
            else if (exchange->request().path == "/release")
                replyToAll(held.front());
            if (served > 1)
                replyToAll(exchange);
        },
        [&](std::uint16_t port, ClientBudget & /*budget*/) {
            std::string requests;
            for (int i = 0; i < RequestCount; ++i)
                requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nhost: x\r\n\r\n";
            requests += "GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            const RawConnection crowd(port);
            std::thread sender([&] { crowd.send(requests); });
            std::this_thread::sleep_for(milliseconds(300));
            const std::size_t before = residentBytes();
            std::this_thread::sleep_for(milliseconds(300));
            EXPECT_LT(residentBytes(), before + 256 * 1024) << "reads while a request is open";
            EXPECT_EQ(served, 1);
            const RawConnection release(port);
            release.send("GET /release HTTP/1.1\r\nhost: x\r\n\r\n");
            std::string answers;
            for (int i = 0; i <= RequestCount; ++i) {
                const std::string answer = crowd.receiveUntil("0end", ReceiveTimeout);
                if (answer.empty())
                    break;
                answers += answer;
            }
            sender.join();
            std::size_t count = 0;
            for (std::size_t at = answers.find("0end"); at != std::string::npos;
                 at = answers.find("0end", at + 1)) {
                ++count;
            }
            EXPECT_EQ(count, std::size_t(RequestCount) + 1);
        });
}

// Guards against clients that send very slowly, or nothing at all, and keep their connections.
TEST(HttpServer, ClosesSlowClients)
{
    serveWhile(
        {}, {.headerTime = milliseconds(300), .rateGrace = milliseconds(300)}, replyToAll,
        [&](std::uint16_t port, ClientBudget &budget) {
            const RawConnection silent(port);
            const RawConnection stalled(port);
            stalled.send(post(1'000) + "a");
            const RawConnection good(port);
            EXPECT_TRUE(good.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n"));
            EXPECT_NE(good.receiveUntil("end", ReceiveTimeout).find("200"), std::string::npos);
            EXPECT_TRUE(silent.waitClosed(milliseconds(3'000)));
            EXPECT_TRUE(stalled.waitClosed(milliseconds(3'000)));
            EXPECT_EQ(budget.total(ClientLimit::HeaderTime), 1U);
            EXPECT_EQ(budget.total(ClientLimit::BodyRate), 1U);
            // A connection that has been served stays open.
            good.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
            EXPECT_NE(good.receiveUntil("end", ReceiveTimeout).find("200"), std::string::npos);
        });
}

// Guards against a reader that never reads and keeps a large answer in memory.
TEST(HttpServer, ClosesASlowReader)
{
    serveWhile(
        {}, {.rateGrace = milliseconds(300), .minBytesPerSecond = 1'000'000'000},
        [](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->reply({.body = std::string(LargeBodyBytes, 'b')});
        },
        [&](std::uint16_t port, ClientBudget &budget) {
            const RawConnection reader(port);
            reader.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
            std::this_thread::sleep_for(milliseconds(1'000));
            EXPECT_EQ(budget.total(ClientLimit::ReaderRate), 1U);
            EXPECT_TRUE(reader.waitClosed(ReceiveTimeout));
        });
}

// Guards against clients that take all connections of a server for which the oldest is replaced.
TEST(HttpServer, ReplacesTheOldestConnectionWhereSet)
{
    serveWhile({.maxConnections = 4, .isOldestReplaced = true}, {}, replyToAll,
               [&](std::uint16_t port, ClientBudget &budget) {
                   std::vector<std::unique_ptr<RawConnection>> silent;
                   silent.reserve(4);
                   for (int i = 0; i < 4; ++i)
                       silent.push_back(std::make_unique<RawConnection>(port));
                   const RawConnection probe(port);
                   probe.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
                   EXPECT_NE(probe.receiveUntil("end", ReceiveTimeout).find("200"),
                             std::string::npos);
                   EXPECT_TRUE(silent.front()->waitClosed(ReceiveTimeout));
                   EXPECT_EQ(budget.total(ClientLimit::Connections), 1U);
               });
}

// Guards against keeping the request of a caller who has gone, since its connection isn't read.
TEST(HttpServer, NoticesThatTheCallerOfAnOpenRequestHasGone)
{
    std::shared_ptr<HttpExchange> held;
    bool isClosed = false;
    serveWhile(
        {}, {},
        [&](const std::shared_ptr<HttpExchange> &exchange) {
            held = exchange;
            held->onClosed([&] { isClosed = true; });
        },
        [&](std::uint16_t port, ClientBudget & /*budget*/) {
            {
                const RawConnection caller(port);
                caller.send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
                std::this_thread::sleep_for(milliseconds(100));
            }
            std::this_thread::sleep_for(milliseconds(500));
        });
    EXPECT_TRUE(isClosed);
}

} // namespace
} // namespace sequoiapier
