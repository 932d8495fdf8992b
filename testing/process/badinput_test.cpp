// Invalid input from callers and operators. Each one gets an answer with a result code or has its
// connection closed, and the gateway keeps serving.
#include "testing/process/oneservicetest.h"
#include "testing/support/rawconnection.h"

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds AnswerTimeout{5'000};

class BadInput : public OneServiceTest
{
protected:
    std::vector<std::string> gatewayFlags() const override
    {
        return {"--max-body-bytes", "1000", "--max-caller-connections", "8",
                "--read-timeout-s", "1"};
    }

    std::uint16_t callerPort() { return system().member("gateway-1").workPort; }

    void expectServing()
    {
        EXPECT_EQ(system().work("gateway-1", "prices", "key", "x").response.status, 200);
    }
};

TEST_F(BadInput, OversizeBodyIsRefusedAsNotRun)
{
    const HttpAnswer answer = system().work("gateway-1", "prices", "key", std::string(1'001, 'b'));
    EXPECT_EQ(answer.response.status, 413);
    EXPECT_NE(answer.response.body.find("\"code\":114"), std::string::npos) << answer.response.body;
    EXPECT_NE(answer.response.body.find("not-run"), std::string::npos);
    expectServing();
}

TEST_F(BadInput, ChunkedBodyIsRefused)
{
    const RawConnection connection(callerPort());
    ASSERT_TRUE(connection.send("POST /v1/queues/prices HTTP/1.1\r\nhost: x\r\n"
                                "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
    const std::string answer = connection.receiveUntil("\"code\":113", AnswerTimeout);
    EXPECT_NE(answer.find("\"code\":113"), std::string::npos) << answer;
    expectServing();
}

TEST_F(BadInput, OversizeHeadersEndTheConnection)
{
    const RawConnection connection(callerPort());
    connection.send("POST /v1/queues/prices HTTP/1.1\r\nx-filler: " + std::string(100'000, 'f')
                    + "\r\n\r\n");
    EXPECT_TRUE(connection.waitClosed(AnswerTimeout));
    expectServing();
}

TEST_F(BadInput, MalformedRequestLineEndsTheConnection)
{
    const RawConnection connection(callerPort());
    ASSERT_TRUE(connection.send("\x16\x03\x01 not http at all\r\n\r\n"));
    EXPECT_TRUE(connection.waitClosed(AnswerTimeout));
    expectServing();
}

TEST_F(BadInput, SlowHeadersAreCutOff)
{
    const RawConnection connection(callerPort());
    ASSERT_TRUE(connection.send("POST /v1/queues/prices HTTP/1.1\r\nhost:"));
    EXPECT_TRUE(connection.waitClosed(AnswerTimeout));
    expectServing();
}

TEST_F(BadInput, SlowBodyIsCutOff)
{
    const RawConnection connection(callerPort());
    ASSERT_TRUE(connection.send("POST /v1/queues/prices HTTP/1.1\r\nhost: x\r\n"
                                "content-length: 100\r\n\r\nhalf"));
    EXPECT_TRUE(connection.waitClosed(AnswerTimeout));
    expectServing();
}

TEST_F(BadInput, ConnectionsPastTheBoundAreClosed)
{
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 8; ++i) {
        connections.push_back(std::make_unique<RawConnection>(callerPort()));
        ASSERT_TRUE(connections.back()->send("POST /v1/queues/prices HTTP/1.1\r\n"));
    }
    const RawConnection excessConnection(callerPort());
    EXPECT_TRUE(excessConnection.waitClosed(milliseconds(500)));
    connections.clear();
    EXPECT_TRUE(LocalSystem::waitUntil(
        [&] { return system().work("gateway-1", "prices", "key", "x").response.status == 200; }));
}

TEST_F(BadInput, MalformedDeadlineNamesTheHeader)
{
    const HttpAnswer answer
        = system().work("gateway-1", "prices", "key", "x", {{"x-deadline-ms", "soon"}});
    EXPECT_EQ(answer.response.status, 400);
    EXPECT_NE(answer.response.body.find("x-deadline-ms"), std::string::npos);
}

TEST_F(BadInput, SchemaMismatchIsNumbered)
{
    const HttpAnswer answer
        = system().call(system().member("controller-1").adminPort,
                        {.method = "POST", .path = "/operator", .body = "no thrift message"});
    EXPECT_EQ(answer.response.status, 400);
    EXPECT_EQ(system().fetch("controller-1", "/healthz").response.status, 200);
}

} // namespace
} // namespace sequoiapier
