// Tests that the adapter decodes the platform's rows and bodies, and that any other input is
// refused and never crashes the process.
#include "platform/base64.h"
#include "platform/callerapi.h"
#include "platform/nodesettings.h"
#include "platform/operatorrows.h"
#include "platform/runnerlist.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sequoiapier {
namespace {

constexpr const char *RunnerRow
    = R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"scot-central-a","version":"v1",
"slots":8,"state":"draining","cold_remaining_ms":40,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
"labels":["a","r1-3"],"machine":"m-0a3f1","born":1700000000123,"clock_ms":482113,"sequence":4})";

StoreRow row(std::string value)
{
    return {.key = {.table = "servers", .key = "i-7f3a91c2"}, .value = std::move(value)};
}

TEST(RunnerList, ReadsAnEntry)
{
    const auto entry = parseRunnerRow(row(RunnerRow));
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->id, "i-7f3a91c2");
    EXPECT_EQ(entry->service, "huvo11a");
    EXPECT_EQ(entry->endpoint, (Endpoint{"10.128.0.9", 8080}));
    EXPECT_EQ(entry->capacity, (Resources{.processors = 16, .memory = 32}));
    EXPECT_EQ(entry->rack(), "r1-3");
    EXPECT_EQ(entry->host, "m-0a3f1");
    EXPECT_EQ(entry->bornAt, 1'700'000'000'123);
    EXPECT_TRUE(entry->isDraining);
    EXPECT_TRUE(entry->isCold);
}

TEST(RunnerList, EntriesThatNameNoRunnerAreLeftOut)
{
    const std::vector<StoreRow> rows{
        row("\xff\xfe"),
        row("{}"),
        row("[]"),
        row(R"({"service":1,"addr":"10.0.0.1:1"})"),
        row(R"({"service":"a","addr":"10.0.0.1:1","state":"odd","capacity":{}})"),
        row(R"({"service":"a","addr":"nowhere","state":"ready","capacity":{}})"),
        row(RunnerRow)};
    const auto usable = std::count_if(rows.begin(), rows.end(), [](const StoreRow &listed) {
        return parseRunnerRow(listed).has_value();
    });
    EXPECT_EQ(usable, 1);
    EXPECT_TRUE(parseRunnerRow(rows.back()));
}

std::string withField(std::string_view field)
{
    return "{" + std::string(field) + "," + std::string(RunnerRow).substr(1);
}

std::string nested(std::size_t depth, const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < depth; ++i)
        text += close;
    return text;
}

TEST(RunnerList, DeeplyNestedEntryNamesNoRunnerAndEndsNoProcess)
{
    EXPECT_TRUE(parseRunnerRow(row(withField(R"("more":[{"a":[1]}])"))));
    EXPECT_FALSE(parseRunnerRow(row(withField(R"("more":)" + nested(400'000, "[", "]")))));
    EXPECT_FALSE(parseRunnerRow(row(withField(R"("more":)" + nested(400'000, R"({"a":)", "}")))));
}

TEST(RunnerList, EntryWithANumberOutOfRangeNamesNoRunner)
{
    const auto replaced = [](const std::string &from, const std::string &to) {
        std::string rowText = RunnerRow;
        rowText.replace(rowText.find(from), from.size(), to);
        return row(rowText);
    };
    for (const char *born : {"1e300", "-1e300", "9223372036854775808", "18446744073709551615",
                             "1700000000123.5", "\"1700000000123\"", "null"}) {
        EXPECT_FALSE(parseRunnerRow(replaced("1700000000123", born))) << born;
    }
    for (const char *amount : {"1e300", "-1", "\"16\"", "1e15"})
        EXPECT_FALSE(parseRunnerRow(replaced("16000", amount))) << amount;
    for (const char *port : {"70000", "0", "-1", "18446744073709551617"})
        EXPECT_FALSE(parseRunnerRow(replaced("8080", port))) << port;
    EXPECT_FALSE(parseRunnerRow(replaced("1700000000123", "1e999")));
}

TEST(CallerApi, DeeplyNestedSubmissionIsRefused)
{
    const std::string deep = nested(250'000, "[", "]");
    EXPECT_FALSE(parseSubmission(R"({"spec":"","steps":[{"count":1,"after":)" + deep + "}]}"));
    EXPECT_FALSE(parseSubmission(deep));
    EXPECT_FALSE(parseSubmission(R"({"spec":"","steps":[{"count":1,"cpu":1e300}]})"));
}

TEST(OperatorRows, DeeplyNestedRowsAreRefused)
{
    const std::string deep = nested(400'000, "[", "]");
    EXPECT_FALSE(parseOperatorConfiguration(R"({"version":1,"more":)" + deep + "}"));
    EXPECT_FALSE(parseOperatorConfiguration(R"({"version":1e300})"));
    EXPECT_FALSE(parseWaveOrder(R"({"wave":1,"duration_s":1,"more":)" + deep + "}"));
    EXPECT_FALSE(parseWaveOrder(R"({"wave":1,"duration_s":1e300})"));
    EXPECT_FALSE(parseWaveOrder(R"({"wave":-1,"duration_s":1})"));
}

TEST(OperatorRows, ReadsAConfiguration)
{
    const auto parsed = parseOperatorConfiguration(
        R"({"version":7,"routes":[{"name":"r-1","host":"pule25.example","prefix":"/puxa400/",
"kind":"non_idempotent","timeout_ms":3000,"slo_ms":600,"priority":1,"service":"huvo11a",
"max_attempts":3,"stretch":1.6,"public":false,
"recommendation":{"decide_ms":20,"each_ms":3,"valid_ms":3000}}],
"services":[{"name":"huvo11a","rejects_overload":true,"standby":false},
{"name":"lohu93e","standby":true}],"limits":{},
"tenants":[{"name":"cugo130","api_keys":["one","two"],"weight":53,"cap":{"cpu":48000,"gpu":2}}]})");
    ASSERT_TRUE(parsed);
    const Configuration &configuration = parsed.value();
    EXPECT_EQ(configuration.version, 7U);
    const QueueConfig &queue = configuration.queues.at(0);
    EXPECT_EQ(queue.pathPrefix, "/puxa400/");
    EXPECT_EQ(queue.maxAttempts, 3U);
    EXPECT_DOUBLE_EQ(queue.stretch, 1.6);
    EXPECT_EQ(queue.objectiveMilliseconds, 600);
    EXPECT_TRUE(queue.needsAdvice);
    EXPECT_EQ(queue.adviceValidMilliseconds, 3'000);
    EXPECT_TRUE(configuration.services.at(1).isStandby);
    EXPECT_EQ(configuration.teams.at(0).share, 53U);
    EXPECT_EQ(configuration.teams.at(0).resourceCeiling,
              (Resources{.processors = 48, .accelerators = 2}));
    ASSERT_NE(configuration.findKey(keyDigest("two")), nullptr);
    EXPECT_EQ(configuration.findKey(keyDigest("two"))->team, "cugo130");
    EXPECT_EQ(configuration.findKey(keyDigest("three")), nullptr);
}

TEST(OperatorRows, ReadsAWave)
{
    const auto wave
        = parseWaveOrder(R"({"wave":1,"machines":["m-1","m-2"],"duration_s":20,"cap":1})");
    ASSERT_TRUE(wave);
    EXPECT_EQ(wave.value().hosts.size(), 2U);
    EXPECT_EQ(wave.value().duration, std::chrono::seconds(20));
    EXPECT_EQ(wave.value().maxOut, 1U);
    EXPECT_FALSE(parseWaveOrder("{}"));
    EXPECT_FALSE(parseOperatorConfiguration("{}"));
}

TEST(CallerApi, ReadsASubmission)
{
    const auto spec = parseSubmission(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
"affinity":"r1-3","constraints":["gpu-a"],"anti_affinity":2,"max_unavailable":1,"target_ms":90},
{"count":20,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,"same_rack":true,
"speculative":true,"long_running":true,"fills":true,"image":"quote"}],
"times":3,"first_ms":1700000000000,"interval_ms":500})");
    ASSERT_TRUE(spec);
    const jobs::StepSpec &first = spec.value().steps.at(0);
    EXPECT_EQ(first.size, (Resources{.processors = 0.5, .memory = 0.25}));
    EXPECT_EQ(first.dataRack, "r1-3");
    EXPECT_EQ(first.requiredLabel, "gpu-a");
    EXPECT_EQ(first.maxPerRunner, 2U);
    EXPECT_EQ(first.maxUnavailable, 1U);
    EXPECT_EQ(first.targetMilliseconds, 90U);
    const jobs::StepSpec &second = spec.value().steps.at(1);
    EXPECT_EQ(second.after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(second.hasCheckpoints && second.isGang && second.isSameRack);
    EXPECT_TRUE(second.isSpeculative && second.isLasting && second.isFilling);
    EXPECT_EQ(spec.value().times, 3U);
    EXPECT_EQ(spec.value().intervalMilliseconds, 500);
}

TEST(CallerApi, AnswersTellWhetherTheJobMayRun)
{
    const auto status = [](ResultCode code) { return toResponse({.code = code}).status; };
    EXPECT_EQ(status(ResultCode::Ok), 200);
    EXPECT_EQ(status(ResultCode::NotFound), 410);
    EXPECT_EQ(status(ResultCode::QueueUnknown), 404);
    EXPECT_EQ(status(ResultCode::KeyRejected), 401);
    EXPECT_EQ(status(ResultCode::ConfigurationStale), 503);
    EXPECT_EQ(status(ResultCode::OutcomeUnknown), 504);
    const HttpResponse refused = toResponse(
        {.code = ResultCode::NoUpstream, .retryAfter = std::chrono::milliseconds(1'200)});
    EXPECT_EQ(headerValue(refused.headers, "retry-after"), "2");
}

TEST(CallerApi, ReadsARequest)
{
    const TimePoint now = BootClock::now();
    const CallerRequest request = readCallerRequest({.method = "DELETE",
                                                     .path = "/puxa400/5c0e7a21d94b36f8",
                                                     .headers = {{"host", "pule25.example:8340"},
                                                                 {"authorization", "Token abc"},
                                                                 {"deadline-ms", "250"}}},
                                                    now);
    EXPECT_EQ(request.verb, CallerVerb::Cancel);
    EXPECT_EQ(request.host, "pule25.example");
    EXPECT_EQ(request.key, "abc");
    EXPECT_EQ(request.deadline, now + std::chrono::milliseconds(250));
    EXPECT_TRUE(isJobId("5c0e7a21d94b36f8"));
    EXPECT_FALSE(isJobId("5c0e7a21d94b36fx"));
    EXPECT_FALSE(isJobId(""));
}

TEST(NodeSettings, ReadsWhatItNeedsAndNamesWhatIsMissing)
{
    const std::string listen = R"("listen":{"front":"10.1.0.23:8340","ready":"10.1.0.23:8343"})";
    const std::string rest
        = R"(,"port_range":[7000,7015],"platform":{"addr":"10.200.1.7:8344","row_bytes":65536},
"bounds":{"grace_s":6,"hold_max_ms":10000,"move_s":1.5},"unknown":[1]})";
    const auto settings
        = parseNodeSettings(R"({"node":"front-1","zone":"scot-central-a",)" + listen + rest);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings.value().callers, (Endpoint{"10.1.0.23", 8340}));
    EXPECT_EQ(settings.value().peerPort, 7000);
    EXPECT_EQ(settings.value().moveTime, std::chrono::milliseconds(1'500));
    EXPECT_EQ(settings.value().fleet.port, 0);
    EXPECT_EQ(parseNodeSettings("[]").error().code, ResultCode::SchemaMismatch);
    EXPECT_EQ(parseNodeSettings("{" + listen + rest).error().detail, "no name in the field node");
    EXPECT_EQ(parseNodeSettings(R"({"node":"a"})").error().detail, "no address in the field front");
}

TEST(NodeSettings, ReadsTheIntervalOfHoldersAndRefusesOneThatStopsAllOrders)
{
    const auto parse = [](const std::string &bounds) {
        return parseNodeSettings(
            R"({"node":"a","listen":{"front":"10.1.0.23:8340","ready":"10.1.0.23:8343"},
"port_range":[7000],"platform":{"addr":"10.200.1.7:8344"},"bounds":{)"
            + bounds + "}}");
    };
    EXPECT_EQ(parse("").value().holderInterval, std::chrono::milliseconds(3'000));
    EXPECT_EQ(parse(R"("lease_ms":1500)").value().holderInterval, std::chrono::milliseconds(1'500));
    EXPECT_EQ(parse(R"("lease_ms":6000)").value().holderInterval, std::chrono::milliseconds(6'000));
    EXPECT_EQ(parse(R"("lease_ms":60001)").error().code, ResultCode::InvalidSettings);
}

RC_GTEST_PROP(Base64, IsReadBackAsItWasWritten, (const std::string &bytes))
{
    RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
}

RC_GTEST_PROP(PlatformRows, AnyTextIsReadOrRefused, (const std::string &text))
{
    parseRunnerRow(row(text));
    const bool isParsed = parseSubmission(text) || parseOperatorConfiguration(text)
        || parseWaveOrder(text) || parseNodeSettings(text) || decodeBase64(text);
    RC_ASSERT(isParsed || !isParsed);
}

} // namespace
} // namespace sequoiapier
