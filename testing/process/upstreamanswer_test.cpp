// Partial, malformed, late and surplus answers of an upstream. Each one is answered as an error or
// dropped, and no caller gets the answer to another caller's request.
#include "testing/process/oneservicetest.h"
#include "testing/support/scriptedupstream.h"

#include <future>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr int Rounds = 30;
constexpr int Callers = 6;

// Chooses the answer by the kind with which the request identifier begins.
UpstreamScript script(const UpstreamRequest &request)
{
    const std::string kind = request.id.substr(0, request.id.find('-'));
    const milliseconds none{0};
    const std::string whole = wholeAnswer(request.body, request.attemptId);
    if (kind == "cut")
        return {{{none, whole.substr(0, whole.size() - 1)}}, true};
    if (kind == "headless")
        return {{{none, "HTTP/1.1 200 OK\r\ncontent-le"}}, true};
    if (kind == "garbage")
        return {{{none, "gibberish\r\n\r\n"}}, true};
    if (kind == "chunked") {
        return {{{none, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n"}},
                true};
    }
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const std::string chunk = "1\r\n" + request.body.substr(0, 1) + "\r\n";
    if (kind == "chunks")
        return {{{none, chunkedHead + chunk + "0\r\n\r\n"}}, false};
    if (kind == "slowchunks")
        return {{{none, chunkedHead}, {milliseconds(20), chunk}, {milliseconds(20), "0\r\n\r\n"}},
                true};
    if (kind == "late")
        return {{{milliseconds(600), whole}}, false};
    if (kind == "stray") // Followed by an answer to an earlier request.
        return {{{none, whole}, {milliseconds(5), wholeAnswer("stray", "1")}}, false};
    if (kind == "nameless")
        return {{{none, whole}, {milliseconds(5), wholeAnswer("nameless")}}, false};
    if (kind == "surplus")
        return {{{none, whole + wholeAnswer("surplus")}}, false};
    if (kind == "longer")
        return {{{none, whole + "surplus"}}, false};
    if (kind == "slow")
        return {{{milliseconds(std::hash<std::string>()(request.id) % 40), whole}}, false};
    return {{{none, whole}}, false};
}

class UpstreamAnswer : public OneServiceTest
{
protected:
    UpstreamAnswer()
        : m_upstream(script)
    { }

    Configuration configuration() override
    {
        Configuration configuration = OneServiceTest::configuration();
        // Lost attempts keep their slots for a long time, so the runner needs many.
        configuration.services = {{.name = "prices",
                                   .slotsPerRunner = 256,
                                   .connectionsPerRunner = 256,
                                   .runners = {{"127.0.0.1", m_upstream.port()}}}};
        return configuration;
    }

    HttpAnswer call(const std::string &id, bool isIdempotent, int deadlineMilliseconds = 2'000)
    {
        return system().work("gateway-1", "prices", "key", "body of " + id,
                             {{"x-request-id", id},
                              {"x-idempotent", isIdempotent ? "true" : "false"},
                              {"x-deadline-ms", std::to_string(deadlineMilliseconds)}});
    }

    void expectOwnAnswer(const std::string &id)
    {
        const HttpAnswer answer = call(id, true);
        EXPECT_EQ(answer.response.status, 200) << id << " " << answer.response.body;
        EXPECT_EQ(answer.response.body, "body of " + id);
    }

    // Expects that a request after an answer of the given kind gets its own answer, `wait` later.
    void expectOwnAnswersAfter(const std::string &kind, milliseconds wait = milliseconds(0))
    {
        for (int i = 0; i < Rounds; ++i) {
            const std::string number = std::to_string(i);
            call(kind + "-" + number, true);
            std::this_thread::sleep_for(wait);
            expectOwnAnswer("plain-" + kind + number);
        }
    }

    ScriptedUpstream m_upstream;
};

TEST_F(UpstreamAnswer, PartialOrMalformedIsAnErrorAndNeverNotRun)
{
    for (const bool isIdempotent : {false, true}) {
        for (const std::string kind : {"cut", "headless", "garbage", "chunked"}) {
            const std::string id = kind + (isIdempotent ? "-price" : "-settlement");
            const HttpAnswer answer = call(id, isIdempotent);
            EXPECT_EQ(answer.outcome, HttpOutcome::Answered) << id;
            EXPECT_GE(answer.response.status, 500) << id << " " << answer.response.body;
            EXPECT_NE(answer.response.body.find("\"run\":\"unknown\""), std::string::npos)
                << id << " " << answer.response.body;
        }
    }
    expectOwnAnswer("plain-after");
}

TEST_F(UpstreamAnswer, ChunkedOneIsWholeByItsLastChunk)
{
    for (const bool isIdempotent : {false, true}) {
        for (const std::string kind : {"chunks", "slowchunks"}) {
            const HttpAnswer answer
                = call(kind + "-" + std::to_string(int(isIdempotent)), isIdempotent);
            EXPECT_EQ(answer.response.status, 200) << kind << " " << answer.response.body;
            EXPECT_EQ(answer.response.body, "b");
        }
    }
}

TEST_F(UpstreamAnswer, LateOneIsDroppedAndReachesNoOther)
{
    for (int i = 0; i < 8; ++i) {
        const HttpAnswer answer = call("late-" + std::to_string(i), true, 300);
        EXPECT_EQ(answer.response.status, 504) << answer.response.body;
    }
    for (int i = 0; i < Rounds; ++i) {
        expectOwnAnswer("plain-" + std::to_string(i));
        std::this_thread::sleep_for(milliseconds(20));
    }
}

TEST_F(UpstreamAnswer, StrayOneOnAnIdleConnectionReachesNoOther)
{
    expectOwnAnswersAfter("nameless", milliseconds(50));
}

// Without the echoed attempt such an answer can't be told from the expected one.
TEST_F(UpstreamAnswer, StrayOneAfterTheNextRequestIsDetectedByTheEchoedAttempt)
{
    expectOwnAnswersAfter("stray");
}

TEST_F(UpstreamAnswer, SurplusOneInTheSameSegmentReachesNoOther)
{
    expectOwnAnswersAfter("surplus");
    expectOwnAnswersAfter("longer");
}

TEST_F(UpstreamAnswer, OutOfOrderAnswersReachTheirOwnCallers)
{
    std::vector<std::future<void>> callers;
    callers.reserve(Callers);
    for (int caller = 0; caller < Callers; ++caller) {
        callers.push_back(std::async(std::launch::async, [this, caller] {
            for (int i = 0; i < Rounds; ++i)
                expectOwnAnswer("slow-" + std::to_string(caller) + "-" + std::to_string(i));
        }));
    }
    for (std::future<void> &caller : callers)
        caller.get();
}

} // namespace
} // namespace sequoiapier
