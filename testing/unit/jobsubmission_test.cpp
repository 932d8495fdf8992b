#include "controller/jobcancellation.h"
#include "controller/jobrequest.h"
#include "controller/jobsubmission.h"
#include "testing/support/faketable.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

struct Fixture
{
    VirtualTime time;
    FakeTable table{time};
    int writes = 0;
    int laterSteps = 0;
    JobSubmission::Hooks hooks{.table = table.hooks("c"),
                               .now = [this] { return time.now(); },
                               .writeId = [this] { return "w" + std::to_string(++writes); },
                               .later =
                                   [this](std::function<void()> step) {
                                       ++laterSteps;
                                       time.at(time.now(), std::move(step));
                                   }};

    static JobRow row(const std::string &id, double processors = 1)
    {
        return {.id = id, .team = "a", .pool = "p", .size = {processors, 1, 0}};
    }

    std::vector<ResultCode> submit(std::vector<JobRow> rows, bool isNewId = false)
    {
        std::vector<ResultCode> codes;
        JobSubmission::run(hooks, std::move(rows), isNewId,
                           [&](const auto &outcomes) { codes = codesOf(outcomes); });
        time.runUntil(time.now() + 1min);
        return codes;
    }

    std::vector<ResultCode> cancel(std::vector<std::string> ids)
    {
        std::vector<ResultCode> codes;
        JobCancellation::run(hooks, "a", "p", std::move(ids),
                             [&](const auto &outcomes) { codes = codesOf(outcomes); });
        time.runUntil(time.now() + 1min);
        return codes;
    }

    static std::vector<ResultCode> codesOf(const std::vector<JobOutcome> &outcomes)
    {
        std::vector<ResultCode> codes;
        codes.reserve(outcomes.size());
        for (const JobOutcome &outcome : outcomes)
            codes.push_back(outcome.code);
        return codes;
    }

    std::size_t liveCount() { return table.rows().scan(liveJobPrefix("p")).size(); }
};

using Codes = std::vector<ResultCode>;

TEST(JobSubmission, LostAnswerIsResolvedAndARepeatFindsTheFirstOutcome)
{
    Fixture fixture;
    fixture.table.loseNextAnswers(1);
    EXPECT_EQ(fixture.submit({Fixture::row("x"), Fixture::row("y")}),
              (Codes{ResultCode::Committed, ResultCode::Committed}));
    EXPECT_EQ(fixture.submit({Fixture::row("x"), Fixture::row("y", 2), Fixture::row("z")}),
              (Codes{ResultCode::Committed, ResultCode::Conflict, ResultCode::Committed}));
    EXPECT_EQ(fixture.liveCount(), 3U);
}

TEST(JobSubmission, EndedJobIsNotBroughtBackByARepeat)
{
    Fixture fixture;
    fixture.submit({Fixture::row("x")});
    EXPECT_EQ(fixture.cancel({"x"}), Codes{ResultCode::Committed});
    EXPECT_EQ(fixture.submit({Fixture::row("x")}), Codes{ResultCode::Committed});
    EXPECT_EQ(fixture.liveCount(), 0U);
}

TEST(JobSubmission, OutageIsNeverAnsweredAsCommitted)
{
    Fixture fixture;
    fixture.table.setOutage(true);
    EXPECT_EQ(fixture.submit({Fixture::row("x")}), Codes{ResultCode::CommitUnknown});
    fixture.table.setOutage(false);
    EXPECT_EQ(fixture.submit({Fixture::row("x")}), Codes{ResultCode::Committed});
}

TEST(JobCancellation, ReportsTheOutcomeOfEachJob)
{
    Fixture fixture;
    fixture.submit({Fixture::row("waits"), Fixture::row("placed"), Fixture::row("done")});
    JobRow placed = Fixture::row("placed");
    placed.state = JobState::Placed;
    placed.worker = "h0";
    placed.attempt = 1;
    JobRow done = Fixture::row("done");
    done.state = JobState::Done;
    const auto version = [&](const JobRow &row) {
        return fixture.table.rows().read(liveJobKey(row)).front().version;
    };
    fixture.table.rows().commit({{liveJobKey(placed), toJson(placed), version(placed)},
                                 {liveJobKey(done), std::nullopt, version(done)},
                                 {endedJobKey("a", "done"), toJson(done), 0}});
    fixture.table.loseNextAnswers(1);
    const Codes expected{ResultCode::Committed, ResultCode::Committed, ResultCode::Conflict,
                         ResultCode::NotFound};
    EXPECT_EQ(fixture.cancel({"waits", "placed", "done", "none"}), expected);
    EXPECT_EQ(fixture.cancel({"waits", "placed", "done", "none"}), expected);
    const TableRow row = fixture.table.rows().read(liveJobKey(placed)).front();
    EXPECT_EQ(parseJobRow(row.value).value().state, JobState::Stopping);
    EXPECT_EQ(fixture.liveCount(), 1U);
}

// Decoding ten thousand rows at once blocked the event loop for 0.2 s.
TEST(JobCancellation, RepeatOverManyStoppingJobsIsSpreadOverLoopIterations)
{
    constexpr std::size_t Count = 2 * JobCancellation::RowsPerCommit + 1;
    Fixture fixture;
    std::vector<std::string> ids;
    std::vector<RowWrite> writes;
    for (std::size_t i = 0; i < Count; ++i) {
        ids.push_back("j" + std::to_string(i));
        JobRow stopping = Fixture::row(ids.back());
        stopping.state = JobState::Stopping;
        stopping.worker = "h0";
        stopping.attempt = 1;
        writes.push_back({liveJobKey(stopping), toJson(stopping), 0});
    }
    fixture.table.rows().commit(writes);
    EXPECT_EQ(fixture.cancel(ids), Codes(Count, ResultCode::Committed));
    EXPECT_EQ(fixture.laterSteps, 3);
}

TEST(JobRequest, RefusesWhatCannotStandInARow)
{
    const Configuration configuration{.pools = {{.name = "p"}}};
    const auto codeOf = [&](const std::function<void(api::JobRequest &)> &change) {
        api::JobRequest request;
        request.id = "x";
        request.pool = "p";
        request.processors = 1;
        change(request);
        const Result<JobRow> row = parseJobRequest(request, "a", configuration);
        return row ? ResultCode::Ok : row.error().code;
    };
    EXPECT_EQ(codeOf([](auto &) {}), ResultCode::Ok);
    EXPECT_EQ(codeOf([](auto &job) { job.pool = "q"; }), ResultCode::NotFound);
    EXPECT_EQ(codeOf([](auto &job) { job.id = "a/b"; }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.id = std::string(65, 'x'); }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.processors = -1; }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.memory = std::nan(""); }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.processors = 0; }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.priority = 1'001; }), ResultCode::ChangeInvalid);
    EXPECT_EQ(codeOf([](auto &job) { job.payload = "\xff"; }), ResultCode::ChangeInvalid);
}

} // namespace
} // namespace sequoiapier
