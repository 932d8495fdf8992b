#include "cli/settingsparser.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

struct Settings
{
    std::int64_t port = 0;
    std::string zone = "zone-1";
    std::string address = "127.0.0.1";
};

Result<ParseAction> parse(Settings &settings, std::vector<const char *> args,
                          std::vector<std::string> environment = {})
{
    SettingsParser parser("gateway", "A role.");
    parser.addInteger("port", settings.port, {.min = 1, .max = 65'535, .help = "Port"});
    parser.addText("zone", settings.zone, {.allowed = {"zone-1", "zone-2"}, .help = "Zone"});
    parser.addText(
        "address", settings.address,
        {.isValid = isIpAddress, .expected = "an IP address", .help = "Listening address"});
    args.insert(args.begin(), "gateway");
    return parser.parse(args, [&] { return environment; });
}

TEST(SettingsParser, FlagOverridesVariable)
{
    Settings settings;
    ASSERT_TRUE(
        parse(settings, {"--port", "80"}, {"SEQUOIAPIER_PORT=90", "SEQUOIAPIER_ZONE=zone-2"}));
    EXPECT_EQ(settings.port, 80);
    EXPECT_EQ(settings.zone, "zone-2");
}

TEST(SettingsParser, ReportsAllErrorsAtOnce)
{
    Settings settings;
    const auto result = parse(settings, {"--port", "70000", "--zone", "zone-9", "--nonsense", "1"},
                              {"SEQUOIAPIER_ADDRESS=localhost", "SEQUOIAPIER_TYPO=1", "HOME=/"});
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().code, ResultCode::InvalidSettings);
    for (const char *part :
         {"--port: '70000' is not an integer from 1 to 65535",
          "--zone: 'zone-9' is not one of zone-1, zone-2", "--nonsense: unknown flag",
          "SEQUOIAPIER_ADDRESS: 'localhost' is not an IP address",
          "SEQUOIAPIER_TYPO: unknown environment variable"}) {
        EXPECT_NE(result.error().detail.find(part), std::string::npos) << part << "\n in\n"
                                                                       << result.error().detail;
    }
}

TEST(SettingsParser, HelpEndsWithoutRunning)
{
    Settings settings;
    const auto result = parse(settings, {"--help"});
    ASSERT_TRUE(result);
    EXPECT_EQ(result.value(), ParseAction::Exit);
}

TEST(SettingsParser, UnexpectedWordIsAnError)
{
    Settings settings;
    const auto result = parse(settings, {"--port", "80", "surplus"});
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().detail.find("surplus"), std::string::npos);
}

} // namespace
} // namespace sequoiapier
