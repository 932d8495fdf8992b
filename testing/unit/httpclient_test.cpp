#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/timer.h"
#include "testing/support/freeport.h"
#include "testing/support/scriptedupstream.h"

#include <gtest/gtest.h>
#include <malloc.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr int FreedMemoryByte = 0xa5; // fills freed memory, so that a use after free shows

// Makes calls one after the other, each from the callback of the previous call.
class CallSequence
{
public:
    using AfterCall = std::function<void(int endedCount)>;

    CallSequence(Loop &loop, HttpClient &client, std::uint16_t port, int count, AfterCall afterCall)
        : m_loop(loop)
        , m_client(client)
        , m_port(port)
        , m_count(count)
        , m_afterCall(std::move(afterCall))
    { }

    std::vector<HttpAnswer> run()
    {
        next();
        m_loop.run();
        return std::move(m_answers);
    }

    static std::string body(int number) { return "call " + std::to_string(number); }

private:
    void next()
    {
        HttpCall call{.address = "127.0.0.1", .port = m_port};
        call.deadline = BootClock::now() + milliseconds(5'000);
        call.request = {.method = "POST", .path = "/", .body = body(int(m_answers.size()))};
        m_client.call(std::move(call), [this](HttpAnswer answer) {
            m_answers.push_back(std::move(answer));
            m_afterCall(int(m_answers.size()));
            if (int(m_answers.size()) == m_count)
                m_loop.stop();
            else
                next();
        });
    }

    Loop &m_loop;
    HttpClient &m_client;
    std::uint16_t m_port;
    int m_count;
    AfterCall m_afterCall;
    std::vector<HttpAnswer> m_answers;
};

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
    std::size_t maxSlotCount = 0;
    std::unique_ptr<Timer> next;
    const auto call = [&] {
        HttpCall request{.address = "127.0.0.1", .port = port};
        request.deadline = BootClock::now() + milliseconds(1'000);
        request.request = {.method = "POST", .path = "/", .body = "x"};
        request.connectionUse = ConnectionUse::ReuseProved;
        client.call(std::move(request), [&](const HttpAnswer &answer) {
            answered += answer.outcome == HttpOutcome::Answered ? 1 : 0;
            maxSlotCount = std::max(maxSlotCount, client.slotCount());
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
    EXPECT_LE(maxSlotCount, 1U);
}

// Each runner that leaves its pool ends connections. A call that follows within a second must not
// get a connection of its own only because the client still closes another one.
TEST(HttpClient, ConnectionMadeRightAfterAnotherEndedIsKept)
{
    const std::uint16_t port = freePort();
    Loop loop({});
    HttpServer server(loop, {.address = "127.0.0.1", .port = port},
                      [](const std::shared_ptr<HttpExchange> &exchange) { exchange->reply({}); });
    ASSERT_TRUE(server.isListening());
    HttpClient client(loop, {});
    Timer end(loop, [&] { loop.stop(); });
    const auto call = [&](ConnectionUse use, const HttpCallback &callback) {
        HttpCall request{.address = "127.0.0.1", .port = port};
        request.deadline = BootClock::now() + milliseconds(2'000);
        request.request = {.method = "POST", .path = "/", .body = "x"};
        request.connectionUse = use;
        client.call(std::move(request), callback);
    };
    call(ConnectionUse::Fresh, [&](const HttpAnswer &) {
        call(ConnectionUse::ReuseProved, [&](const HttpAnswer &answer) {
            EXPECT_TRUE(answer.isOk());
            end.startAt(BootClock::now() + milliseconds(200));
        });
    });
    loop.run();
    EXPECT_EQ(server.connectionCount(), 1U);
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

// Callers that reuse connections which the server closes some milliseconds after its answer.
class ClosingServerCallers
{
public:
    static constexpr int CallCount = 400;
    static constexpr std::size_t CallerCount = 20;

    explicit ClosingServerCallers(std::uint16_t port)
        : m_port(port)
    {
        for (std::size_t i = 0; i < CallerCount; ++i) {
            m_timers.push_back(std::make_unique<Timer>(m_loop, [this, i] { call(i); }));
            m_timers.back()->startAt(BootClock::now());
        }
    }

    void run() { m_loop.run(); }
    int answered() const { return m_answered; }
    std::size_t slotCount() const { return m_client.slotCount(); }

private:
    void call(std::size_t caller)
    {
        HttpCall request{.address = "127.0.0.1", .port = m_port};
        request.deadline = BootClock::now() + milliseconds(1'000);
        request.request
            = {.method = "POST", .path = "/", .body = std::string(std::size_t(1 + m_ended), 'x')};
        m_client.call(std::move(request), [this, caller](const HttpAnswer &answer) {
            m_answered += answer.outcome == HttpOutcome::Answered ? 1 : 0;
            if (++m_ended == CallCount)
                m_loop.stop();
            m_timers[caller]->startAt(BootClock::now() + milliseconds(m_ended % 6));
        });
    }

    std::uint16_t m_port;
    Loop m_loop{{}};
    HttpClient m_client{m_loop, {}};
    std::vector<std::unique_ptr<Timer>> m_timers;
    int m_ended = 0;
    int m_answered = 0;
};

void callClosingServer(bool resets)
{
    constexpr int Rounds = 12;
    constexpr std::size_t IdleTimeCount = 7; // idle times of 0 to 6 milliseconds
    mallopt(M_PERTURB, FreedMemoryByte);
    ScriptedUpstream upstream([resets](const UpstreamRequest &request) {
        const milliseconds idle(request.body.size() % IdleTimeCount);
        return UpstreamScript{.parts = {{milliseconds(0), wholeAnswer(request.body)}, {idle, ""}},
                              .closes = true,
                              .resets = resets};
    });
    for (int i = 0; i < Rounds; ++i) {
        ClosingServerCallers callers(upstream.port());
        callers.run();
        EXPECT_GT(callers.answered(), ClosingServerCallers::CallCount / 2);
        EXPECT_LE(callers.slotCount(), 2 * ClosingServerCallers::CallerCount);
    }
    mallopt(M_PERTURB, 0);
}

TEST(HttpClient, IdleConnectionThatWasResetIsNotTakenForACall)
{
    callClosingServer(true);
}

TEST(HttpClient, IdleConnectionThatWasClosedIsNotTakenForACall)
{
    callClosingServer(false);
}

// Leaves a connection idle, reuses it for a second call in a later loop iteration, and calls
// `maySend` right before that call is written. Returns the outcome of the second call.
HttpOutcome reuseIdleConnection(std::uint16_t port, const std::function<bool()> &maySend)
{
    constexpr milliseconds Pause(2);
    Loop loop({});
    HttpClient client(loop, {});
    std::vector<HttpOutcome> outcomes;
    std::unique_ptr<Timer> next;
    next = std::make_unique<Timer>(loop, [&] {
        HttpCall call{.address = "127.0.0.1", .port = port};
        call.deadline = BootClock::now() + milliseconds(5'000);
        call.request = {.method = "POST", .path = "/", .body = "x"};
        if (!outcomes.empty())
            call.maySend = maySend;
        client.call(std::move(call), [&](const HttpAnswer &answer) {
            outcomes.push_back(answer.outcome);
            if (outcomes.size() == 2)
                loop.stop();
            else
                next->startAt(BootClock::now() + Pause);
        });
    });
    next->startAt(BootClock::now());
    loop.run();
    EXPECT_EQ(outcomes[0], HttpOutcome::Answered);
    return outcomes[1];
}

TEST(HttpClient, ConnectionThatIsResetBetweenTheLookAndTheWriteEndsThatCallAlone)
{
    constexpr int Rounds = 20;
    static constexpr milliseconds Reset(20);
    mallopt(M_PERTURB, FreedMemoryByte);
    ScriptedUpstream upstream([](const UpstreamRequest &request) {
        return UpstreamScript{.parts = {{milliseconds(0), wholeAnswer(request.body)}, {Reset, ""}},
                              .closes = true,
                              .resets = true};
    });
    for (int round = 1; round <= Rounds; ++round) {
        const HttpOutcome outcome = reuseIdleConnection(upstream.port(), [&] {
            while (upstream.answeredCount() < round)
                std::this_thread::sleep_for(milliseconds(1));
            std::this_thread::sleep_for(Reset);
            return true;
        });
        EXPECT_EQ(outcome, HttpOutcome::Lost);
    }
    mallopt(M_PERTURB, 0);
}

TEST(HttpClient, CallThatMayNotBeSentOnAnIdleConnectionEndsAlone)
{
    constexpr int Rounds = 20;
    mallopt(M_PERTURB, FreedMemoryByte);
    ScriptedUpstream upstream([](const UpstreamRequest &request) {
        return UpstreamScript{.parts = {{milliseconds(0), wholeAnswer(request.body)}}};
    });
    for (int round = 0; round < Rounds; ++round)
        EXPECT_EQ(reuseIdleConnection(upstream.port(), [] { return false; }), HttpOutcome::NotSent);
    mallopt(M_PERTURB, 0);
}

// The stray bytes have arrived when the connection is reused, but the loop has not read them yet.
TEST(HttpClient, AnswerThatNobodyWaitsForIsNotTakenByTheNextCall)
{
    constexpr int Rounds = 10;
    ScriptedUpstream upstream([](const UpstreamRequest &request) {
        return UpstreamScript{.parts = {{milliseconds(0), wholeAnswer(request.body)},
                                        {milliseconds(5), wholeAnswer("stray")}}};
    });
    Loop loop({});
    HttpClient client(loop, {});
    CallSequence calls(loop, client, upstream.port(), Rounds, [&](int ended) {
        while (upstream.answeredCount() < ended)
            std::this_thread::sleep_for(milliseconds(1));
    });
    const std::vector<HttpAnswer> answers = calls.run();
    for (int i = 0; i < Rounds; ++i) {
        EXPECT_EQ(answers[std::size_t(i)].outcome, HttpOutcome::Answered);
        EXPECT_EQ(answers[std::size_t(i)].response.body, CallSequence::body(i));
    }
}

// libwebsockets stores body bytes that arrive with the headers wherever the heap has room. The
// freed blocks make it store them at a lower address than the client's own buffer.
TEST(HttpClient, ChunkedAnswerThatArrivesWithItsHeadIsWhole)
{
    ScriptedUpstream upstream([](const UpstreamRequest &) {
        return UpstreamScript{
            .parts
            = {{milliseconds(0),
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"}}};
    });
    Loop loop({});
    std::vector<std::string> lowerBlocks;
    for (std::size_t size = 16; size < 4'096; size += 16)
        lowerBlocks.emplace_back(size, 'x');
    HttpClient client(loop, {});
    lowerBlocks.clear();
    CallSequence calls(loop, client, upstream.port(), 1, [](int) {});
    const std::vector<HttpAnswer> answers = calls.run();
    EXPECT_EQ(answers[0].outcome, HttpOutcome::Answered);
    EXPECT_EQ(answers[0].response.body, "b");
}

// A call waits for its answer until its own deadline. The time limit of the loop is for receiving
// requests; it ended calls whose answer took longer.
TEST(HttpClient, AnswerThatTakesLongerThanTheContentTimeoutIsReceived)
{
    ScriptedUpstream upstream([](const UpstreamRequest &request) {
        return UpstreamScript{.parts = {{milliseconds(3'500), wholeAnswer(request.body)}}};
    });
    Loop loop({.contentTimeoutSeconds = 1});
    HttpClient client(loop, {});
    CallSequence calls(loop, client, upstream.port(), 1, [](int) {});
    const std::vector<HttpAnswer> answers = calls.run();
    EXPECT_EQ(answers[0].outcome, HttpOutcome::Answered);
    EXPECT_EQ(answers[0].response.body, CallSequence::body(0));
}

} // namespace
} // namespace sequoiapier
