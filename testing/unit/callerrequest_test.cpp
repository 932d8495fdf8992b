#include "gateway/callerrequest.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Now{std::chrono::hours(1)};

HttpRequest post(std::vector<HttpHeader> headers)
{
    return {.method = "POST", .path = "/v1/queues/prices", .headers = std::move(headers)};
}

TEST(CallerRequest, TakesAllHeaders)
{
    const auto request = parseCallerRequest(post({{"authorization", "Bearer k"},
                                                  {"x-deadline-ms", "1500"},
                                                  {"x-request-id", "id"},
                                                  {"x-request-age-ms", "200"},
                                                  {"x-idempotent", "true"},
                                                  {"x-urgent", "true"}}),
                                            Now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request.value().queue, "prices");
    EXPECT_EQ(request.value().key, "k");
    EXPECT_EQ(request.value().deadline, Now + milliseconds(1'500));
    EXPECT_EQ(request.value().firstSent, Now - milliseconds(200));
    EXPECT_TRUE(request.value().isIdempotent);
    EXPECT_TRUE(request.value().isUrgent);
}

TEST(CallerRequest, IsNotIdempotentUnlessItSaysSo)
{
    const auto request = parseCallerRequest(post({}), Now);
    ASSERT_TRUE(request);
    EXPECT_FALSE(request.value().isIdempotent);
    EXPECT_EQ(request.value().deadline, Now + milliseconds(DefaultDeadlineMilliseconds));
}

TEST(CallerRequest, NamesTheHeaderAtFault)
{
    const std::vector<HttpHeader> faults{{"authorization", "Basic k"},
                                         {"x-deadline-ms", "0"},
                                         {"x-deadline-ms", "12x"},
                                         {"x-request-age-ms", "-1"},
                                         {"x-idempotent", "yes"},
                                         {"x-urgent", "1"},
                                         {"x-request-id", std::string(129, 'i')}};
    for (const HttpHeader &fault : faults) {
        const auto request = parseCallerRequest(post({fault}), Now);
        ASSERT_FALSE(request) << fault.name;
        EXPECT_EQ(request.error().code, ResultCode::RequestMalformed);
        EXPECT_NE(request.error().detail.find(fault.name), std::string::npos);
    }
}

} // namespace
} // namespace sequoiapier
