#include "jobs/job.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiapier::jobs {
namespace {

StepSpec anyStep(std::uint32_t index)
{
    StepSpec step;
    step.count = *rc::gen::inRange<std::uint32_t>(1, 6);
    step.size.processors = *rc::gen::inRange(0, 64'000) / 1'000.0;
    step.size.memory = *rc::gen::inRange(0, 262'144) / 1'024.0;
    step.estimateMilliseconds = *rc::gen::inRange(0, 10'000);
    if (index > 0 && *rc::gen::arbitrary<bool>())
        step.after = {*rc::gen::inRange<std::uint32_t>(0, index)};
    step.image = *rc::gen::string<std::string>();
    step.maxPerRunner = *rc::gen::inRange<std::uint32_t>(0, 4);
    step.isLasting = *rc::gen::arbitrary<bool>();
    step.isGang = *rc::gen::arbitrary<bool>();
    return step;
}

JobSpec anySpec()
{
    JobSpec spec{.payload = *rc::gen::string<std::string>()};
    const auto steps = *rc::gen::inRange<std::uint32_t>(1, 5);
    for (std::uint32_t i = 0; i < steps; ++i)
        spec.steps.push_back(anyStep(i));
    spec.times = *rc::gen::inRange<std::uint32_t>(0, 4);
    return spec;
}

RC_GTEST_PROP(JobSpec, IsReadBackAsItWasWritten, ())
{
    JobSpec spec = anySpec();
    spec.payload.resize(std::min<std::size_t>(spec.payload.size(), MaxPayloadBytes));
    RC_ASSERT(bool(checkJobSpec(spec)));
    const Result<JobSpec> read = parseJobSpec(encodeJobSpec(spec));
    RC_ASSERT(bool(read));
    RC_ASSERT(read.value() == spec);
}

RC_GTEST_PROP(JobSpec, AnyBytesAreReadOrRefused, ())
{
    const auto bytes = *rc::gen::string<std::string>();
    const Result<JobSpec> read = parseJobSpec(bytes);
    // RC_ASSERT would evaluate both sides of a || operator.
    const bool isSane = !read || read.value().steps.size() <= bytes.size();
    RC_ASSERT(isSane);
}

TEST(JobSpec, LengthBeyondAllMemoryIsRefused)
{
    const std::string array("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
    EXPECT_EQ(parseJobSpec(array).error().code, ResultCode::RowMalformed);
    Job job{.id = "a"};
    EXPECT_FALSE(parseJobState(array, job));
}

TEST(JobSpec, NamesWhatCanNotBeRun)
{
    const auto refusal = [](const JobSpec &spec) { return checkJobSpec(spec).error().detail; };
    EXPECT_EQ(refusal({}), "a job has 1 to 64 steps");
    EXPECT_EQ(refusal({.steps = {{.count = 0}}}), "step 0 has no tasks or too many");
    EXPECT_EQ(refusal({.steps = {{}, {.after = {1}}}}),
              "step 1 waits for a step that is not before it");
    EXPECT_EQ(refusal({.steps = {{.size = {.processors = -1}}}}),
              "step 0 asks for a negative amount");
}

RC_GTEST_PROP(JobState, IsReadBackAsItWasWritten, ())
{
    Job job{.id = "a", .queue = "queue", .team = "team", .spec = anySpec()};
    job.acceptedAt = 1'700'000'000'123;
    job.nextOccurrence = 1;
    Occurrence occurrence = makeOccurrence(job.spec);
    for (Step &step : occurrence.steps) {
        for (Task &task : step.tasks) {
            task.phase = *rc::gen::element(TaskPhase::Waiting, TaskPhase::Placed, TaskPhase::Done);
            if (task.phase == TaskPhase::Placed) {
                task.run = *rc::gen::inRange<std::uint64_t>(1, 9);
                task.runner = "i-1";
                task.failedRuns = {1};
                task.checkpoint = "saved";
                task.isLeaseKnown = *rc::gen::arbitrary<bool>();
            }
            step.doneCount += task.phase == TaskPhase::Done ? 1 : 0;
        }
    }
    job.occurrences[0] = occurrence;
    Job read{.id = "a", .spec = job.spec};
    RC_ASSERT(bool(parseJobState(encodeJobState(job), read)));
    RC_ASSERT(read.queue == job.queue && read.team == job.team && read.phase == job.phase);
    RC_ASSERT(read.acceptedAt == job.acceptedAt);
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        RC_ASSERT(read.occurrences[0].steps[s].doneCount == occurrence.steps[s].doneCount);
        for (std::size_t t = 0; t < occurrence.steps[s].tasks.size(); ++t) {
            const Task &expected = occurrence.steps[s].tasks[t];
            const Task &actual = read.occurrences[0].steps[s].tasks[t];
            RC_ASSERT(actual.phase == expected.phase);
            if (expected.phase == TaskPhase::Placed) {
                RC_ASSERT(actual.run == expected.run && actual.runner == expected.runner
                          && actual.failedRuns == expected.failedRuns
                          && actual.checkpoint == expected.checkpoint
                          && actual.isLeaseKnown == expected.isLeaseKnown);
                RC_ASSERT(actual.runPhase == RunPhase::Inherited);
            }
        }
    }
}

TEST(JobState, StateThatDoesNotMatchTheSpecificationIsRefused)
{
    Job job{.id = "a", .spec = {.steps = {{.count = 2}}}};
    job.occurrences[0] = makeOccurrence(job.spec);
    Job other{.id = "a", .spec = {.steps = {{.count = 3}}}};
    EXPECT_FALSE(parseJobState(encodeJobState(job), other));
    EXPECT_FALSE(parseJobState("", other));
    EXPECT_FALSE(parseJobState("\x80", other));
}

// An earlier version has read and written the job meanwhile. It leaves out what it doesn't know.
TEST(JobState, LeaseOfARowOfAnEarlierVersionIsNotKnown)
{
    Job job{.id = "a", .spec = {.steps = {{.count = 1}}}};
    job.occurrences[0] = makeOccurrence(job.spec);
    Task &task = job.occurrences[0].steps[0].tasks[0];
    task = {.phase = TaskPhase::Placed, .run = 1, .runner = "i-1", .isLeaseKnown = true};
    nlohmann::json row = nlohmann::json::from_cbor(encodeJobState(job));
    nlohmann::json &occurrence = row[8][0];
    ASSERT_EQ(occurrence.size(), 3U);
    occurrence.erase(2);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(row);
    Job read{.id = "a", .spec = job.spec};
    ASSERT_TRUE(parseJobState(std::string(bytes.begin(), bytes.end()), read));
    EXPECT_EQ(read.occurrences[0].steps[0].tasks[0].phase, TaskPhase::Placed);
    EXPECT_FALSE(read.occurrences[0].steps[0].tasks[0].isLeaseKnown);
}

TEST(JobState, KnownLeaseOfATaskThatDoesNotExistIsRefused)
{
    Job job{.id = "a", .spec = {.steps = {{.count = 1}}}};
    job.occurrences[0] = makeOccurrence(job.spec);
    for (const auto &known : {R"([[7]])", R"([[0], [0]])", R"([["x"]])", R"([7])", R"("x")"}) {
        nlohmann::json row = nlohmann::json::from_cbor(encodeJobState(job));
        row[8][0].push_back(nlohmann::json::parse(known));
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(row);
        Job read{.id = "a", .spec = job.spec};
        EXPECT_FALSE(parseJobState(std::string(bytes.begin(), bytes.end()), read)) << known;
    }
}

TEST(TaskName, IsReadBackAndOthersAreRefused)
{
    const TaskName name{.job = "5c0e7a21d94b36f8", .occurrence = 2, .step = 1, .index = 17};
    EXPECT_EQ(toString(name), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(parseTaskName("5c0e7a21d94b36f8.2.1.17").value(), name);
    for (const char *text : {"", "a", "a.1.2", "a.1.2.x", "a.1..3", "a.1.2.-3"})
        EXPECT_FALSE(parseTaskName(text)) << text;
}

} // namespace
} // namespace sequoiapier::jobs
