#include "net/loop.h"
#include "node/admissionreport.h"
#include "node/jobrelay.h"
#include "sequoiapier/resultcode.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiapier {
namespace {

// Returns the answer to a call whose first attempt gets no answer, and whose second one is refused
// for lack of capacity.
api::JobReply replyAfterLostAttempt(bool isFirstSent)
{
    Loop loop({});
    int attempts = 0;
    api::JobReply refusal = AdmissionReport::refusal(std::chrono::seconds(4), true);
    JobRelay relay(loop,
                   {.findOwner =
                        [](const std::string &) {
                            return Endpoint{"127.0.0.1", 1};
                        },
                    .findPool = [](const std::string &) { return std::string("pool"); },
                    .handleLocally = [](const api::JobCall &, const JobRelay::ReplyCallback &) {},
                    .send =
                        [&](const Endpoint &, const api::JobCall &, TimePoint,
                            const JobRelay::SendCallback &answer) {
                            if (attempts++ == 0)
                                answer(nullptr, isFirstSent);
                            else
                                answer(&refusal, true);
                        }});
    std::optional<api::JobReply> reply;
    api::JobCall call;
    call.verb = api::JobVerb::SUBMIT;
    relay.call(call, BootClock::now() + std::chrono::seconds(5), [&](const api::JobReply &answer) {
        reply = answer;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(attempts, 2);
    return reply.value_or(api::JobReply());
}

// Guards against an answer that says "not run" about a job that an earlier owner may have accepted.
TEST(JobRelay, RefusalAfterALostAnswerIsUnknown)
{
    EXPECT_EQ(replyAfterLostAttempt(true).code, std::int32_t(ResultCode::OutcomeUnknown));
}

// Guards against a certain refusal that callers can't tell from an unknown outcome.
TEST(JobRelay, RefusalAfterAnAttemptThatWasNotSentIsCertain)
{
    const api::JobReply reply = replyAfterLostAttempt(false);
    EXPECT_EQ(reply.code, std::int32_t(ResultCode::Overloaded));
    EXPECT_EQ(reply.retryAfterMilliseconds, 4'000);
}

// Guards against a refusal by a node that owns the pool no more: a later owner may have accepted
// the job.
TEST(AdmissionReport, OnlyTheOwnerRefuses)
{
    EXPECT_EQ(AdmissionReport::refusal(std::chrono::seconds(4), false).code,
              std::int32_t(ResultCode::NotOwner));
}

} // namespace
} // namespace sequoiapier
