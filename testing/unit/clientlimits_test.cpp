#include "node/clientlimits.h"
#include "sequoiapier/boundedjson.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sequoiapier {
namespace {

Result<ParseAction> parse(ClientLimits &limits, std::vector<const char *> args,
                          std::vector<std::string> environment = {})
{
    SettingsParser parser("node", "A role.");
    addClientLimitSettings(parser, limits);
    args.insert(args.begin(), "node");
    return parser.parse(args, [&] { return environment; });
}

// Guards against defaults that exceed the memory or the descriptors of a small host.
TEST(ClientLimits, DefaultsAreDerivedFromTheSettings)
{
    ClientLimits limits;
    ASSERT_TRUE(parse(limits, {}));
    ASSERT_TRUE(limits.resolve({.maxDescriptors = 4'100, .maxMemoryMegabytes = 160}));
    EXPECT_EQ(limits.memoryBytes, 40 * 1024 * 1024);
    EXPECT_EQ(limits.connections, 1'025);
    EXPECT_EQ(limits.connectionsPerAddress, 0);
    EXPECT_EQ(limits.readinessConnections, 64);
    EXPECT_EQ(limits.adminConnections, 1'024);
    EXPECT_EQ(limits.budgetOptions().headerTime, std::chrono::seconds(10));
    EXPECT_EQ(limits.budgetOptions().minBytesPerSecond, 1'024U);
}

// Guards against limits that are accepted at start and fail only under load.
TEST(ClientLimits, RejectsValuesOutOfRangeWithFlagAndValue)
{
    ClientLimits limits;
    const auto parsed
        = parse(limits, {"--client-memory-bytes", "1000", "--client-json-values", "9"},
                {"SEQUOIAPIER_CLIENT_MIN_RATE=0"});
    ASSERT_FALSE(parsed);
    for (const char *part : {"--client-memory-bytes: '1000'", "--client-json-values: '9'",
                             "SEQUOIAPIER_CLIENT_MIN_RATE: '0'"}) {
        EXPECT_NE(parsed.error().detail.find(part), std::string::npos) << parsed.error().detail;
    }
    limits = {.memoryBytes = 65 * 1024 * 1024};
    const auto memory = limits.resolve({.maxDescriptors = 512, .maxMemoryMegabytes = 64});
    ASSERT_FALSE(memory);
    EXPECT_NE(memory.error().detail.find("--client-memory-bytes: '68157440'"), std::string::npos);
    limits = {.connections = 300};
    const auto connections = limits.resolve({.maxDescriptors = 512, .maxMemoryMegabytes = 64});
    ASSERT_FALSE(connections);
    EXPECT_NE(connections.error().detail.find("--client-connections: '300'"), std::string::npos);
}

// Guards against refusing the largest legal job, and against parsing a body of very many short
// fields, which takes many times its size.
TEST(ClientLimits, LargestLegalJobIsWithinTheLimitOfValues)
{
    nlohmann::json steps = nlohmann::json::array();
    for (std::size_t i = 0; i < jobs::MaxSteps; ++i) {
        nlohmann::json step{{"count", 1},
                            {"estimate_ms", 1},
                            {"constraints", {"a"}},
                            {"image", "i"},
                            {"after", nlohmann::json::array()}};
        for (std::size_t before = 0; before < i; ++before)
            step["after"].push_back(before);
        for (int field = 0; field < 15; ++field)
            step["field" + std::to_string(field)] = false;
        steps.push_back(step);
    }
    const std::string largest = nlohmann::json{
        {"spec", std::string(jobs::MaxPayloadBytes, 's')},
        {"steps", steps}}.dump();
    EXPECT_LE(countJsonValues(largest), LargestJobValues);
    EXPECT_TRUE(parseSubmission(largest));
    std::string many = R"({"spec":"","steps":[{"count":1}],"x":[0)";
    while (many.size() < 500 * 1024)
        many += ",0";
    many += "]}";
    const auto refused = parseSubmission(many);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, ResultCode::RequestMalformed);
    // Characters in strings are no values.
    EXPECT_TRUE(parseSubmission(
        R"({"spec":")" + std::string(3'000, ',') + R"(","steps":[{"count":1}]})", 20));
}

} // namespace
} // namespace sequoiapier
